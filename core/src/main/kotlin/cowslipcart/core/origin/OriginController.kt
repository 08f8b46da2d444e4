package cowslipcart.core.origin

import cowslipcart.core.capacity.RefusalReason
import cowslipcart.core.claims.AttemptOrigin
import cowslipcart.core.claims.ClaimVerdict
import cowslipcart.core.claims.RequestKey
import cowslipcart.core.model.AttemptId
import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.GrantId
import cowslipcart.core.model.OrganisationId
import cowslipcart.core.model.RequestId
import cowslipcart.core.model.ShardId
import kotlin.random.Random

/**
 * Life cycle of the requests whose callers are connected to this host. This is the only place that
 * decides to dispatch a request: it does so once, in the step that makes the request's state
 * dispatched, and a request that was reported as not run never leaves that state.
 */
public interface OriginController {
    /** Number of requests that are neither finished nor rejected. */
    public val openCount: Int

    /** Starts a request. [isSuspect] is set if its content was in the batch of a crash. */
    public fun start(request: CallerRequest, isSuspect: Boolean, nowMs: Long): List<OriginEffect>

    /** Takes the result of a claim. A late result for a request that gave up is released. */
    public fun onClaimVerdict(
        attempt: AttemptId,
        verdict: ClaimVerdict,
        nowMs: Long
    ): List<OriginEffect>

    /** Nobody can decide the claim of [requestId] now. */
    public fun onClaimUndecidable(
        requestId: RequestId,
        detail: String,
        nowMs: Long
    ): List<OriginEffect>

    /** Takes the answer to an outcome query of [organisation] about [queried]. */
    public fun onOutcome(
        organisation: OrganisationId?,
        queried: RequestId,
        outcome: RequestOutcome,
        nowMs: Long
    ): List<OriginEffect>

    /** Takes what all hosts together know about the key of [requestId]. */
    public fun onKeyStanding(
        requestId: RequestId,
        standing: KeyStanding,
        nowMs: Long
    ): List<OriginEffect>

    /** Returns what this host knows about [key]; [except] is not looked at. */
    public fun standingOf(key: RequestKey, except: RequestId?): KeyStanding

    /**
     * Takes a grant. It is used only if the ask with number [echoedAskCount] was sent less than
     * [MAX_GRANT_AGE_MS] ago; else it is given back.
     */
    public fun onGranted(grant: ReceivedGrant, nowMs: Long): List<OriginEffect>

    /** Takes a refusal of the owner of [shard]. */
    public fun onRefused(
        shard: ShardId,
        requestId: RequestId,
        reason: RefusalReason,
        retryAfterMs: Long?,
        nowMs: Long
    ): List<OriginEffect>

    /** The owner wants the capacity of [grantId] back. */
    public fun onGiveWay(requestId: RequestId, grantId: GrantId): List<OriginEffect>

    /** The exchange with the endpoint ended. */
    public fun onStreamEnd(requestId: RequestId, end: StreamEnd, nowMs: Long): List<OriginEffect>

    /** All hosts that answered know about the crash [crashId], or the wait for them is over. */
    public fun onCrashAcknowledged(crashId: String, nowMs: Long): List<OriginEffect>

    /** The caller closed its connection. */
    public fun onCallerGone(requestId: RequestId, nowMs: Long): List<OriginEffect>

    /**
     * The owner of [shard] changed: reports running grants now and asks again in later ticks, within
     * [MAX_JITTER_MS]. Requests beyond the retry budget end as not run, lower tiers first.
     */
    public fun onOwnerChanged(shard: ShardId, nowMs: Long): List<OriginEffect>

    /** Takes no more requests; those that wait end as not run when [limitMs] is over. */
    public fun drain(limitMs: Long, nowMs: Long): List<OriginEffect>

    /**
     * Returns what is known about a request. If [organisation] is given, a request of another one
     * is unknown.
     */
    public fun outcomeOf(organisation: OrganisationId?, requestId: RequestId): RequestOutcome

    /** Repeats asks and claims that are due and ends requests that waited too long. */
    public fun tick(nowMs: Long): List<OriginEffect>

    public companion object {
        /**
         * Oldest grant that is used. With the 0.5 s between polls of an endpoint it keeps new work
         * away from a leaving endpoint within the bound of 3 s.
         */
        public const val MAX_GRANT_AGE_MS: Long = 1_500

        /** Time between repetitions of an ask or a claim. */
        public const val REPEAT_INTERVAL_MS: Long = 500

        /** Longest delay of an ask to a new owner. */
        public const val MAX_JITTER_MS: Long = 200

        /** Time after which an undecided claim is given up. */
        public const val CLAIM_TIMEOUT_MS: Long = 2_000

        /** Time after which a silent origin of an earlier attempt is taken as unreachable. */
        public const val OUTCOME_TIMEOUT_MS: Long = 1_000

        /** Longest wait for capacity of a request without deadline. */
        public const val MAX_WAIT_MS: Long = 60_000

        /** Dispatches that an endpoint proved not run before the request is given up. */
        public const val MAX_PROVEN_NOT_RUN: Int = 3
    }
}

/** A grant as it arrived from the owner of [shard]. */
public data class ReceivedGrant(
    public val shard: ShardId,
    public val requestId: RequestId,
    public val grantId: GrantId,
    public val endpoint: EndpointId,
    public val echoedAskCount: Long
)

/** Looks up what the origin needs of the configuration. */
public fun interface ShardCounts {
    /** Returns the number of shards of the pool of [request], at least 1. */
    public fun shardCountFor(request: CallerRequest): Int
}

/** Creates an [OriginController] for the process [self]; [random] draws the jitter of asks. */
public fun createOriginController(
    self: AttemptOrigin,
    random: Random,
    shardCounts: ShardCounts
): OriginController = DefaultOriginController(self, random, shardCounts)
