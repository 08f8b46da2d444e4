package cowslipcart.experiment.scenario

import arrow.core.Either
import cowslipcart.core.claims.ClaimRecord
import cowslipcart.core.claims.EpochRecord
import cowslipcart.core.config.ConfigEntry
import cowslipcart.core.config.ConfigRecord
import cowslipcart.core.host.HostController
import cowslipcart.core.host.HostEffect
import cowslipcart.core.host.HostInput
import cowslipcart.core.host.OrderEffect
import cowslipcart.core.log.LogError
import cowslipcart.core.membership.HostIdentity
import cowslipcart.core.model.Configuration
import cowslipcart.core.model.EndpointSpec
import cowslipcart.core.model.HostId
import cowslipcart.core.model.LogOffset
import cowslipcart.core.model.RequestId
import cowslipcart.core.origin.RequestOutcome

/** One process of a host: the real control state with simulated input and output. */
internal class HostProcess(
    val identity: HostIdentity,
    private val controller: HostController,
    private val world: World
) {
    private val time = world.time
    private val traffic = Traffic(this, world)
    private val pausedActions = ArrayDeque<() -> Unit>()
    private var watchedEndpoints = emptyList<EndpointSpec>()
    private var watchGeneration = 0
    private var configNext = LogOffset(0)
    private var epochsNext = LogOffset(0)

    val host: HostId get() = identity.host
    var isPaused = false
        private set
    var isAlive = true
        private set
    var isReady = false
        private set
    var isDraining = false
        private set
    var configuration: Configuration = Configuration.EMPTY
        private set

    /** Results of [HostInput.FindOutcome] by query id. */
    val outcomes = HashMap<Long, RequestOutcome>()

    val openRequestCount: Int get() = controller.openRequestCount

    fun start() {
        tick()
        pollList()
        pollConfig()
        pollEpochs()
        reportProgress()
    }

    fun call(requestId: RequestId, record: CallerRecord) = deliver {
        traffic.begin(requestId, record)?.let { handle(HostInput.RequestReceived(it)) }
    }

    fun breakStream(requestId: RequestId) = deliver { traffic.breakStream(requestId) }

    fun drain(limitMs: Long) = deliver {
        isDraining = true
        handle(HostInput.Drain(limitMs))
    }

    /** Handles [input]; a paused process handles it when it wakes. */
    fun input(input: HostInput) = deliver { handle(input) }

    /** Runs [action] in the process: now, when it wakes, or never if it is killed. */
    fun deliver(action: () -> Unit) {
        when {
            !isAlive -> Unit
            isPaused -> pausedActions.addLast(action)
            else -> action()
        }
    }

    fun pause() {
        isPaused = true
    }

    fun wake() {
        isPaused = false
        while (!isPaused && isAlive) (pausedActions.removeFirstOrNull() ?: return).invoke()
    }

    fun kill() {
        isAlive = false
        pausedActions.clear()
    }

    private fun handle(input: HostInput) {
        controller.handle(input, time.nowMs).forEach { perform(it) }
    }

    private fun perform(effect: HostEffect) {
        when (effect) {
            is HostEffect.SendPeer -> world.network.send(host, effect.to, effect.message)

            is HostEffect.Dispatch -> traffic.dispatch(effect)

            is HostEffect.InterruptStream -> traffic.interrupt(effect.requestId)

            is HostEffect.CancelStream -> traffic.cancel(effect.requestId)

            is HostEffect.Reject -> traffic.reject(effect.requestId, effect.rejection)

            is HostEffect.Replay -> traffic.replay(effect.requestId, effect.answer)

            is HostEffect.AppendClaims -> appendClaims(effect)

            is HostEffect.ReadClaims -> readClaims(effect)

            is HostEffect.AppendEpoch ->
                world.log.append(world.log.epochs, effect.entry, host) {}

            is HostEffect.AppendConfig ->
                world.log.append(world.log.config, effect.entry, host) {}

            is HostEffect.ReportConfigVerdict -> world.operators.onVerdict(effect.verdict)

            is HostEffect.PublishConfiguration -> publish(effect.configuration)

            is HostEffect.PublishReadiness -> publishReadiness(effect)

            is HostEffect.PollLoad -> watch(effect.endpoints)

            is HostEffect.ReportOutcome -> outcomes[effect.queryId] = effect.outcome

            is HostEffect.LogDecision -> time.note(
                "$host: ${effect.decision.requestId} ${effect.decision.choice}, " +
                    effect.decision.reason
            )

            // No scenario declares a desired state for endpoints, so there are no orders.
            is OrderEffect,
            HostEffect.ReadConfigNow,
            is HostEffect.ReadCacheEvents,
            is HostEffect.ReportCacheGap,
            is HostEffect.PublishHosts,
            is HostEffect.ClosePeerConnections
            -> Unit
        }
    }

    private fun publish(configuration: Configuration) {
        this.configuration = configuration
        time.note("$host: revision ${configuration.revision}, ${configuration.presetInForce}")
        world.revisions.onPublished(this)
    }

    private fun publishReadiness(effect: HostEffect.PublishReadiness) {
        isReady = effect.isReady
        time.note("$host: ready ${effect.isReady} ${effect.missing}")
        world.revisions.onPublished(this)
    }

    private fun tick() {
        if (!isAlive) return
        if (!isPaused) handle(HostInput.Tick(time.wallNowMs))
        time.after(TICK_MS) { tick() }
    }

    private fun pollList() {
        if (!isAlive) return
        val list = world.hostList.read()
        input(HostInput.HostListRead(list))
        time.after(LIST_POLL_MS) { deliver { pollList() } }
    }

    private fun pollConfig() {
        val sentAtMs = time.nowMs
        world.log.read(world.log.config, configNext, host) { result ->
            deliver { onConfigPage(result, sentAtMs) }
        }
    }

    private fun onConfigPage(result: LogResult<ConfigEntry>, sentAtMs: Long) = when (result) {
        is Either.Left -> {
            handle(HostInput.ConfigReadFailed)
            time.after(READ_RETRY_MS) { deliver { pollConfig() } }
        }

        is Either.Right -> {
            val page = result.value
            val records = page.records.map { ConfigRecord(it.offset, it.appendedAtMs, it.entry) }
            handle(
                HostInput.ConfigRead(records, page.firstKeptOffset, page.endOffset, sentAtMs)
            )
            configNext = page.records.lastOrNull()?.offset?.next()
                ?: maxOf(configNext, page.firstKeptOffset)
            time.after(READ_INTERVAL_MS) { deliver { pollConfig() } }
        }
    }

    private fun pollEpochs() {
        world.log.read(world.log.epochs, epochsNext, host) { result ->
            deliver {
                result.onRight { page ->
                    if (page.records.isNotEmpty()) {
                        val records = page.records
                            .map { EpochRecord(it.offset, it.appendedAtMs, it.entry) }
                        handle(HostInput.EpochsRead(records))
                        epochsNext = page.records.last().offset.next()
                    }
                }
                time.after(READ_INTERVAL_MS) { deliver { pollEpochs() } }
            }
        }
    }

    private fun appendClaims(effect: HostEffect.AppendClaims) {
        val stream = world.log.claims[effect.partition]
        world.log.append(stream, effect.items, host) { result ->
            input(
                result.fold(
                    { HostInput.ClaimsAppendFailed(effect.partition, effect.batchId, it) },
                    { HostInput.ClaimsAppended(effect.partition, effect.batchId, it) }
                )
            )
        }
    }

    private fun readClaims(effect: HostEffect.ReadClaims) {
        val stream = world.log.claims[effect.partition]
        world.log.read(stream, effect.from, host) { result ->
            input(
                result.fold(
                    { HostInput.ClaimsReadFailed(effect.partition, it) },
                    { page ->
                        HostInput.ClaimsRead(
                            effect.partition,
                            page.records.map { ClaimRecord(it.offset, it.appendedAtMs, it.entry) },
                            page.firstKeptOffset,
                            page.endOffset
                        )
                    }
                )
            )
        }
    }

    /** Polls the load of [endpoints] and stops the polls of an earlier set. */
    private fun watch(endpoints: List<EndpointSpec>) {
        if (watchedEndpoints == endpoints) return
        watchedEndpoints = endpoints
        val generation = ++watchGeneration
        endpoints.forEach { pollLoad(it, generation) }
    }

    private fun pollLoad(spec: EndpointSpec, generation: Int) {
        if (!isAlive || generation != watchGeneration) return
        val report = world.endpoint(spec.id).load()
        input(report?.let { HostInput.LoadRead(it) } ?: HostInput.LoadFailed(spec.id))
        time.after(LOAD_POLL_MS) { deliver { pollLoad(spec, generation) } }
    }

    private fun reportProgress() {
        if (!isAlive) return
        val progress = traffic.collectProgress()
        if (progress.isNotEmpty()) input(HostInput.StreamProgress(progress))
        time.after(PROGRESS_MS) { deliver { reportProgress() } }
    }

    private companion object {
        /** Intervals as in the daemon, except the tick, which is 20 ms there. */
        const val TICK_MS = 25L
        const val LIST_POLL_MS = 1_000L
        const val LOAD_POLL_MS = 500L
        const val PROGRESS_MS = 1_000L
        const val READ_RETRY_MS = 500L

        /** The daemon uses long polls; these reads return at once and are repeated. */
        const val READ_INTERVAL_MS = 50L
    }
}

private typealias LogResult<T> = Either<LogError, FakePage<T>>
