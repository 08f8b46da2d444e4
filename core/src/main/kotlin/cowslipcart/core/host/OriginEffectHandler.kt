package cowslipcart.core.host

import cowslipcart.core.origin.OriginController
import cowslipcart.core.origin.OriginEffect
import cowslipcart.core.quarantine.CrashReport
import cowslipcart.core.quarantine.SuspectRegistry

/** Performs the effects of the [OriginController] on the other parts of this host and on peers. */
internal class OriginEffectHandler(
    private val origin: OriginController,
    private val config: ConfigSync,
    private val shards: ShardManager,
    private val claims: ClaimHandler,
    private val crashes: CrashBroadcaster,
    private val keyQueries: KeyQueryTracker,
    private val suspects: SuspectRegistry,
    private val outbox: Outbox
) {
    /** Performs [effects] in order; a result that is known at once goes back to the origin. */
    fun perform(effects: List<OriginEffect>, nowMs: Long) {
        for (effect in effects) perform(effect, nowMs)
    }

    private fun perform(effect: OriginEffect, nowMs: Long) {
        when (effect) {
            is OriginEffect.SendClaim ->
                claims.route(effect.claim, effect.isDurable)?.let { detail ->
                    val requestId = effect.claim.requestId
                    perform(origin.onClaimUndecidable(requestId, detail, nowMs), nowMs)
                }

            is OriginEffect.SendClaimItem -> claims.routeItem(effect.item, effect.isDurable)

            is OriginEffect.SendOutcomeQuery -> outbox.send(
                effect.origin.host,
                PeerMessage.OutcomeQuery(
                    effect.organisation,
                    effect.requestId,
                    effect.origin.incarnation
                )
            )

            is OriginEffect.SendKeyQuery -> {
                val own = origin.statusOf(effect.key, effect.requestId)
                keyQueries.start(effect.requestId, effect.key, own)?.let { status ->
                    perform(origin.onKeyStatus(effect.requestId, status, nowMs), nowMs)
                }
            }

            is OriginEffect.ReportCrash -> onCrash(effect, nowMs)

            is OriginEffect.ReportCompleted -> suspects.onCompleted(effect.fingerprint, nowMs)

            is OriginEffect.ToShardOwner -> sendToOwner(effect)

            is OriginEffect.Dispatch -> dispatch(effect, nowMs)

            is OriginEffect.InterruptStream ->
                outbox.emit(HostEffect.InterruptStream(effect.requestId))

            is OriginEffect.CancelStream -> outbox.emit(HostEffect.CancelStream(effect.requestId))

            is OriginEffect.Reject -> {
                keyQueries.cancel(effect.requestId)
                outbox.emit(HostEffect.Reject(effect.requestId, effect.rejection))
            }

            is OriginEffect.Replay ->
                outbox.emit(HostEffect.Replay(effect.requestId, effect.answer))
        }
    }

    private fun sendToOwner(effect: OriginEffect.ToShardOwner) {
        val shard = effect.shard
        val message = when (effect) {
            is OriginEffect.SendAsk ->
                PeerMessage.AskCapacity(shard, effect.request, effect.askCount)

            is OriginEffect.SendCancelAsk -> PeerMessage.CancelAsk(shard, effect.requestId)

            is OriginEffect.SendReleased -> PeerMessage.CapacityReleased(shard, effect.report)

            is OriginEffect.SendPreempted ->
                PeerMessage.GaveWay(shard, effect.report, effect.resume)

            is OriginEffect.SendRunning -> PeerMessage.RunningReport(shard, effect.running)
        }
        outbox.send(shards.ownerOf(shard), message)
    }

    /** Dispatches the request, or ends it as not run if its endpoint is no longer declared. */
    private fun dispatch(effect: OriginEffect.Dispatch, nowMs: Long) {
        val endpoint = config.configuration.findEndpoint(effect.endpoint)
        if (endpoint == null) {
            val end = endpointNotDeclared(effect.grantId)
            perform(origin.onStreamEnd(effect.requestId, end, nowMs), nowMs)
            return
        }
        outbox.emit(
            HostEffect.Dispatch(
                effect.requestId,
                effect.grantId,
                effect.shard,
                endpoint,
                effect.isResume
            )
        )
    }

    /** Records a crash here and reports it to all hosts. */
    private fun onCrash(effect: OriginEffect.ReportCrash, nowMs: Long) {
        val report = CrashReport(
            effect.crashId,
            effect.endpoint,
            listOf(effect.fingerprint),
            effect.ranAlone,
            if (effect.ranAlone) suspects.crashedEndpoints(effect.fingerprint) else emptySet()
        )
        suspects.onCrash(report, nowMs)
        if (crashes.broadcast(report, nowMs)) {
            perform(origin.onCrashAcknowledged(effect.crashId, nowMs), nowMs)
        }
    }
}
