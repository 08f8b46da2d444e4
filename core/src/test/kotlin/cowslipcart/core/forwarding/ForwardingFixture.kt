package cowslipcart.core.forwarding

import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.Fingerprint
import cowslipcart.core.model.HostId
import cowslipcart.core.model.IncarnationId
import cowslipcart.core.model.OrganisationId
import cowslipcart.core.model.PoolId
import cowslipcart.core.model.RequestId
import cowslipcart.core.model.Revision
import cowslipcart.core.model.Tier
import cowslipcart.core.rollout.RolloutBounds
import cowslipcart.core.routing.CallerLimits
import cowslipcart.core.routing.OrganisationAccess
import cowslipcart.core.routing.PoolProfile
import cowslipcart.core.routing.QuotaSpec
import cowslipcart.core.routing.QuotaUnit
import cowslipcart.core.routing.Route
import cowslipcart.core.routing.RouteId
import cowslipcart.core.routing.RoutingTable
import cowslipcart.core.routing.WeightedPool
import cowslipcart.core.routing.WorkKind
import kotlin.random.Random

/** A controller with one pool and a clock that the test sets. */
internal class ForwardingFixture(
    isFirstStart: Boolean = true,
    seed: Int = 1,
    hedgeShare: Double = 0.0,
    host: String = "host-1",
    quotaTolerance: QuotaTolerance? = null,
    rolloutBounds: RolloutBounds? = null,
    incarnation: Long = 1
) {
    val host = HostId(host)

    val controller = createForwardingController(
        ForwardingSettings(
            host = this.host,
            incarnation = IncarnationId(incarnation),
            profile = HostProfile("a", 1.0),
            isFirstStart = isFirstStart,
            retryBudgetShare = 0.2,
            retryBudgetSlack = 100,
            hedgeShare = hedgeShare,
            quotaTolerance = quotaTolerance,
            rolloutBounds = rolloutBounds
        ),
        Random(seed)
    )
    var nowMs = 0L
    private var lastCall = 0L

    init {
        controller.onHostsListed(emptyMap(), nowMs)
    }

    private val lastAttempts = mutableMapOf<CallId, Int>()

    /** Takes the effects of each input, beside the commands that the test sees. */
    var onEffects: (List<ForwardingEffect>) -> Unit = {}

    fun send(input: ForwardingInput): List<ForwardingEffect> =
        controller.handle(input, nowMs).onEach { recordAttempt(it) }.also(onEffects)

    private fun recordAttempt(effect: ForwardingEffect) {
        val command = (effect as? ForwardingEffect.Command)?.command
        if (command is CallCommand.Send) lastAttempts[effect.call.id] = command.attempt
    }

    fun commandsOf(input: ForwardingInput): List<CallCommand> =
        send(input).filterIsInstance<ForwardingEffect.Command>().map { it.command }

    fun arrive(call: ForwardedCall): List<CallCommand> = commandsOf(ForwardingInput.Arrived(call))

    fun end(call: ForwardedCall, outcome: AttemptOutcome): List<CallCommand> =
        commandsOf(ForwardingInput.AttemptEnded(call.id, lastAttempts.getValue(call.id), outcome))

    fun listEndpoints(vararg entries: EndpointEntry) =
        send(ForwardingInput.EndpointsChanged(entries.toList()))

    fun call(
        kind: WorkKind = WorkKind.Idempotent,
        rank: Int = 0,
        maxAttempts: Int = 2,
        tokens: Int = 0,
        output: Int = 0,
        fingerprint: String = "f${lastCall + 1}",
        remainingMs: Long = 10_000,
        prompt: List<PromptPart> = emptyList(),
        resumption: Resumption? = null
    ): ForwardedCall {
        lastCall++
        return ForwardedCall(
            id = CallId(lastCall),
            requestId = RequestId("${host.value}-r$lastCall"),
            organisation = ORGANISATION,
            route = route(kind, maxAttempts),
            pool = POOL,
            tier = Tier(rank),
            rankInPool = rank,
            statedSize = if (tokens > 0) WorkSize(tokens, output) else null,
            prompt = prompt,
            fingerprint = Fingerprint(fingerprint),
            arrivedAtMs = nowMs,
            deadlineAtMs = nowMs + remainingMs,
            resumption = resumption
        )
    }

    /** Applies a configuration with a token limit for [ORGANISATION]; null for no limit. */
    fun setLimit(ratePerS: Double?, revision: Long = 1) {
        val quota = ratePerS?.let { QuotaSpec(QuotaUnit.TOKENS, it, it, 1) }
        send(
            ForwardingInput.RoutingChanged(
                RoutingTable(
                    Revision(revision),
                    listOf(route(WorkKind.Idempotent, 2)),
                    listOf(PoolProfile(POOL, 100, 6)),
                    mapOf("key" to OrganisationAccess(ORGANISATION, null, quota)),
                    CallerLimits(16_384, 1_024, 1_000, 1_000),
                    requiresKey = true
                )
            )
        )
    }

    fun report(
        host: String,
        sequence: Long,
        loads: Map<EndpointId, HostLoad> = emptyMap(),
        used: Double = 0.0,
        incarnation: Long = 9,
        crashes: List<CrashNotice> = emptyList(),
        msPerToken: Map<EndpointId, Double> = emptyMap(),
        suspectedParts: List<SuspectedPart> = emptyList(),
        quarantines: List<QuarantinedRequest> = emptyList()
    ) = send(
        ForwardingInput.PeersReported(
            listOf(
                HostLoadReport(
                    HostId(host),
                    IncarnationId(incarnation),
                    sequence,
                    HostProfile("a", 1.0),
                    loads,
                    msPerToken,
                    mapOf(ORGANISATION to used),
                    emptyList(),
                    crashes,
                    suspectedParts,
                    quarantines = quarantines
                )
            )
        )
    )

    companion object {
        val POOL = PoolId("pool")
        val ORGANISATION = OrganisationId("org")

        fun entry(id: String, slots: Int = 2, isDraining: Boolean = false) =
            EndpointEntry(EndpointId(id), POOL, "127.0.0.1", 1, "a", slots, isDraining)

        fun route(kind: WorkKind, maxAttempts: Int) = Route(
            id = RouteId("route"),
            host = "shop.example",
            pathPrefix = "/a/",
            kind = kind,
            targets = listOf(WeightedPool(POOL, 1.0)),
            timeoutMs = 10_000,
            objectiveMs = 300,
            tier = Tier(0),
            maxAttempts = maxAttempts,
            isPublic = false
        )
    }
}
