package cowslipcart.core.origin

import cowslipcart.core.capacity.RefusalReason
import cowslipcart.core.claims.ClaimVerdict
import cowslipcart.core.claims.ProcessId
import cowslipcart.core.claims.RequestKey
import cowslipcart.core.model.AttemptId
import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.GrantId
import cowslipcart.core.model.OrganisationId
import cowslipcart.core.model.RequestId
import cowslipcart.core.model.ShardId
import kotlin.random.Random

/**
 * Life cycle of the requests whose callers are connected to this host, which is their origin. Only
 * this type decides to dispatch a request, in the same step that sets the request's state to
 * dispatched. A request that was reported as not run is never dispatched afterwards.
 */
public interface OriginController {
    /** Number of requests that are neither finished nor rejected. */
    public val openCount: Int

    /**
     * Starts a request.
     *
     * @param isSuspect whether a request with the same content ran on an endpoint when it crashed
     */
    public fun start(request: CallerRequest, isSuspect: Boolean, nowMs: Long): List<OriginEffect>

    /** Takes the verdict on a claim. A claim that is won after its request ended is released. */
    public fun onClaimVerdict(
        attempt: AttemptId,
        verdict: ClaimVerdict,
        nowMs: Long
    ): List<OriginEffect>

    /** Called when no host can decide the claim of [requestId] now; [detail] is the reason. */
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
    public fun onKeyStatus(requestId: RequestId, status: KeyStatus, nowMs: Long): List<OriginEffect>

    /** Returns the status of [key] among the requests of this host other than [except]. */
    public fun statusOf(key: RequestKey, except: RequestId?): KeyStatus

    /**
     * Takes a grant. It is used only if the ask that it echoes was sent at most [MAX_GRANT_AGE_MS]
     * ago; else it is given back.
     */
    public fun onGranted(grant: ReceivedGrant, nowMs: Long): List<OriginEffect>

    /** Takes a refusal by the owner of [shard]. */
    public fun onRefused(
        shard: ShardId,
        requestId: RequestId,
        reason: RefusalReason,
        retryAfterMs: Long?,
        nowMs: Long
    ): List<OriginEffect>

    /** Called when the owner wants to preempt the request that runs with [grantId]. */
    public fun onPreempt(requestId: RequestId, grantId: GrantId): List<OriginEffect>

    /** Called when the exchange with the endpoint has ended. */
    public fun onStreamEnd(requestId: RequestId, end: StreamEnd, nowMs: Long): List<OriginEffect>

    /**
     * Called when all live hosts acknowledged the crash [crashId] or the wait for them timed out.
     */
    public fun onCrashAcknowledged(crashId: String, nowMs: Long): List<OriginEffect>

    /** Called when the caller has closed its connection. */
    public fun onCallerDisconnected(requestId: RequestId, nowMs: Long): List<OriginEffect>

    /**
     * Called when the owner of [shard] changed: reports the running grants to it now and repeats
     * the asks within [MAX_JITTER_MS]. Requests beyond the retry budget end as not run, lower tiers
     * first.
     */
    public fun onOwnerChanged(shard: ShardId, nowMs: Long): List<OriginEffect>

    /** Accepts no more requests; those that still wait after [limitMs] end as not run. */
    public fun drain(limitMs: Long, nowMs: Long): List<OriginEffect>

    /**
     * Returns the outcome of a request. If [organisation] is given, requests of others are reported
     * as unknown.
     */
    public fun outcomeOf(organisation: OrganisationId?, requestId: RequestId): RequestOutcome

    /** Repeats asks and claims that are due and ends requests that waited too long. */
    public fun tick(nowMs: Long): List<OriginEffect>

    public companion object {
        /**
         * Largest age of a grant that is used. With the 0.5 s between polls of an endpoint it keeps
         * new work away from a leaving endpoint within the bound of 3 s.
         */
        public const val MAX_GRANT_AGE_MS: Long = 1_500

        /** Time between repetitions of an ask or a claim. */
        public const val REPEAT_INTERVAL_MS: Long = 500

        /** Longest delay of an ask to a new owner. */
        public const val MAX_JITTER_MS: Long = 200

        /** Time after which an undecided claim is abandoned. */
        public const val CLAIM_TIMEOUT_MS: Long = 2_000

        /**
         * Time after which an unanswered query of an outcome or a key counts as answered "unknown".
         */
        public const val OUTCOME_TIMEOUT_MS: Long = 1_000

        /** Longest wait for capacity of a request without deadline. */
        public const val MAX_WAIT_MS: Long = 60_000

        /** Dispatches that endpoints proved not run, after which the request ends as not run. */
        public const val MAX_PROVEN_NOT_RUN: Int = 3
    }
}

/**
 * A grant as it arrived from the owner of [shard].
 *
 * @property echoedAskCount number of the last ask that the owner had received
 */
public data class ReceivedGrant(
    public val shard: ShardId,
    public val requestId: RequestId,
    public val grantId: GrantId,
    public val endpoint: EndpointId,
    public val echoedAskCount: Long
)

/** Looks up shard counts in the configuration in force. */
public fun interface ShardCounts {
    /** Returns the number of shards of the pool of [request], at least 1. */
    public fun shardCountFor(request: CallerRequest): Int
}

/** Creates an [OriginController] for the process [self]; [random] draws the jitter of asks. */
public fun createOriginController(
    self: ProcessId,
    random: Random,
    shardCounts: ShardCounts
): OriginController = DefaultOriginController(self, random, shardCounts)
