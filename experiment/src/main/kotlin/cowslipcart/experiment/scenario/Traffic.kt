package cowslipcart.experiment.scenario

import cowslipcart.core.capacity.GrantEnd
import cowslipcart.core.capacity.GrantProgress
import cowslipcart.core.capacity.GrantReport
import cowslipcart.core.claims.parseRequestKey
import cowslipcart.core.host.HostEffect
import cowslipcart.core.host.HostInput
import cowslipcart.core.model.Fingerprint
import cowslipcart.core.model.GrantId
import cowslipcart.core.model.PoolId
import cowslipcart.core.model.RequestId
import cowslipcart.core.model.SessionId
import cowslipcart.core.model.ShardId
import cowslipcart.core.model.Tier
import cowslipcart.core.origin.CallerRequest
import cowslipcart.core.origin.Rejection
import cowslipcart.core.origin.StoredAnswer
import cowslipcart.core.origin.StreamEnd

/** Data path of a process: exchanges with endpoints and replies to callers. */
internal class Traffic(private val process: HostProcess, private val world: World) {
    private val time = world.time
    private val sessions = LinkedHashMap<RequestId, Session>()

    /** Registers a call; returns the request for the control state, null for a malformed key. */
    fun begin(requestId: RequestId, record: CallerRecord): CallerRequest? {
        sessions[requestId] = Session(record)
        val call = record.call
        val key = call.keyUuid?.let {
            parseRequestKey(call.organisation, it).getOrNull() ?: return null
        }
        return CallerRequest(
            requestId = requestId,
            organisation = call.organisation,
            tier = Tier(call.tier),
            pool = PoolId(call.route.pool),
            key = key,
            isIdempotent = call.route.isIdempotent,
            isInterruptible = call.route == Route.CHAT,
            fingerprint = Fingerprint("${call.organisation}:${call.content}"),
            timeLeftMs = call.deadlineMs,
            prefillTokens = call.promptTokens,
            outputTokens = call.outputTokens,
            prefixBlocks = emptyList(),
            session = call.session?.let(::SessionId)
        )
    }

    /** Sends after [SEND_DELAY_MS], so that a pause can fall between the decision and the send. */
    fun dispatch(effect: HostEffect.Dispatch) {
        val decidedAtMs = time.nowMs
        time.note("${process.host}: dispatches ${effect.requestId} to ${effect.endpoint.id}")
        time.after(SEND_DELAY_MS) { process.deliver { send(effect, decidedAtMs) } }
        world.triggers.onDispatch(process)
    }

    fun interrupt(requestId: RequestId) {
        val session = sessions[requestId] ?: return
        val exchange = session.exchange ?: return
        val canResume = world.endpoint(exchange.effect.endpoint.id).cancel(requestId)
        if (!canResume) return
        end(session, exchange) { StreamEnd.Interrupted(it, session.sentCount, true) }
    }

    fun cancel(requestId: RequestId) {
        val session = sessions[requestId] ?: return
        val exchange = session.exchange ?: return
        world.endpoint(exchange.effect.endpoint.id).cancel(requestId)
        end(session, exchange) { StreamEnd.CallerDisconnected(it) }
    }

    /** Breaks the connection to the endpoint while the endpoint continues the call. */
    fun breakStream(requestId: RequestId) {
        val session = sessions[requestId] ?: return
        val exchange = session.exchange ?: return
        end(session, exchange) { StreamEnd.Broken(it, "the connection was lost", false) }
    }

    fun reject(requestId: RequestId, rejection: Rejection) =
        reply(requestId, rejection.kind(), rejection.detail)

    fun replay(requestId: RequestId, answer: StoredAnswer) =
        reply(requestId, ReplyKind.ANSWERED, answer.body)

    fun collectProgress(): Map<ShardId, List<GrantProgress>> = sessions.values
        .mapNotNull { session -> session.exchange?.let { it to session.sentCount } }
        .groupBy({ it.first.effect.shard }, { GrantProgress(it.first.effect.grantId, it.second) })

    private fun send(effect: HostEffect.Dispatch, decidedAtMs: Long) {
        val session = sessions[effect.requestId] ?: return
        val exchange = Exchange(effect, time.nowMs)
        session.exchange = exchange
        val endpoint = world.endpoint(effect.endpoint.id)
        val listener = Listener(session, exchange)
        val call = session.record.endpointCall
        val isAccepted = if (effect.isResume) {
            endpoint.resume(call, session.sentCount, listener)
        } else {
            endpoint.start(call, decidedAtMs, listener)
        }
        if (isAccepted) return
        end(session, exchange) {
            if (effect.isResume) {
                StreamEnd.Broken(it, "no handle", !endpoint.isUp)
            } else {
                StreamEnd.ProvenNotRun(it, "connection refused")
            }
        }
    }

    private fun end(session: Session, exchange: Exchange, end: (GrantReport) -> StreamEnd) {
        session.exchange = null
        val report = report(exchange, session.sentCount, GrantEnd.FAILED)
        process.input(HostInput.StreamEnded(exchange.effect.requestId, end(report)))
    }

    private fun complete(session: Session, exchange: Exchange) {
        val isCurrent = session.exchange === exchange
        session.exchange = null
        val body = session.receivedText.toString()
        val requestId = exchange.effect.requestId
        if (isCurrent) reply(requestId, ReplyKind.ANSWERED, body)
        // The end of a stream that is no longer current is also passed to the control state, which
        // has to ignore it.
        if (!isCurrent) time.note("${process.host}: late answer for $requestId")
        val report = report(exchange, session.sentCount, GrantEnd.COMPLETED)
        val answer = StoredAnswer(OK, "text/plain", body)
        process.input(HostInput.StreamEnded(requestId, StreamEnd.Completed(report, answer)))
    }

    private fun reply(requestId: RequestId, kind: ReplyKind, body: String) {
        val session = sessions[requestId] ?: return
        val shown = if (kind == ReplyKind.ANSWERED) "${body.length} characters" else body
        time.note("${process.host}: ${session.record.call.name} is told ${kind.label}: $shown")
        session.record.replies += Reply(time.nowMs, kind, body)
    }

    private fun report(exchange: Exchange, sentCount: Int, end: GrantEnd): GrantReport {
        val durationMs = time.nowMs - exchange.startedAtMs
        val firstTokenMs = exchange.firstTokenAtMs?.let { it - exchange.startedAtMs }
        return GrantReport(exchange.grantId, end, 0, 0, sentCount, firstTokenMs, durationMs)
    }

    private class Session(val record: CallerRecord) {
        val receivedText = StringBuilder()
        var sentCount = 0
        var exchange: Exchange? = null
    }

    private class Exchange(val effect: HostEffect.Dispatch, val startedAtMs: Long) {
        val grantId: GrantId get() = effect.grantId
        var firstTokenAtMs: Long? = null
    }

    private inner class Listener(private val session: Session, private val exchange: Exchange) :
        StreamListener {
        override fun onEvent(sequence: Int, text: String) = arrive {
            if (session.exchange !== exchange) return@arrive
            if (exchange.firstTokenAtMs == null) exchange.firstTokenAtMs = time.nowMs
            if (sequence != session.sentCount) {
                val detail = "expected event ${session.sentCount}, found $sequence"
                end(session, exchange) { StreamEnd.Broken(it, detail, false) }
            } else {
                session.sentCount++
                session.receivedText.append(text)
            }
        }

        override fun onEnd() = arrive { complete(session, exchange) }

        override fun onBroken() = arrive {
            if (session.exchange !== exchange) return@arrive
            val hasCrashed = !world.endpoint(exchange.effect.endpoint.id).isUp
            end(session, exchange) { StreamEnd.Broken(it, "the stream broke off", hasCrashed) }
        }

        private fun arrive(action: () -> Unit) =
            time.after(ENDPOINT_DELAY_MS) { process.deliver(action) }
    }

    private companion object {
        const val SEND_DELAY_MS = 2L
        const val ENDPOINT_DELAY_MS = 1L
        const val OK = 200
    }
}
