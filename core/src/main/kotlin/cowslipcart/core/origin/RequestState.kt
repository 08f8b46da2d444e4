package cowslipcart.core.origin

import cowslipcart.core.claims.ClaimItem
import cowslipcart.core.claims.ClaimVerdict
import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.GrantId
import cowslipcart.core.model.RequestId
import cowslipcart.core.model.ShardId

/** State of a request at its origin, the host that received it. */
internal sealed interface RequestState {
    /** Waits for the verdict on the claim of its idempotency key. */
    data class Claiming(val claim: ClaimItem.Claim, val sinceMs: Long, val sentAtMs: Long) :
        RequestState

    /** Another attempt holds the key; waits for its outcome from that attempt's origin. */
    data class QueryingOutcome(
        val held: ClaimVerdict.Held,
        val queried: RequestId,
        val sinceMs: Long
    ) : RequestState

    /** The claim could not be decided; waits for what all hosts know about the key. */
    data class QueryingKey(val detail: String, val sinceMs: Long) : RequestState

    /**
     * Waits for capacity.
     *
     * @property askSentAtMs send time of each ask by its ask count; only asks that a usable grant
     * can echo are kept
     * @property triedShards shards that are not asked again, as they refused recently
     * @property sinceMs start of the wait at all shards together
     * @property nextAskAtMs time of the ask to a new owner; null if none is due
     * @property firstAskAtMs time of the first ask to [shard]
     */
    data class Waiting(
        val shard: ShardId,
        val askCount: Long,
        val askSentAtMs: Map<Long, Long>,
        val triedShards: Set<ShardId>,
        val sinceMs: Long,
        val resume: Resume?,
        val nextAskAtMs: Long? = null,
        val firstAskAtMs: Long = sinceMs
    ) : RequestState

    /** Was sent to [endpoint], which may have received bytes of it. */
    data class Dispatched(
        val shard: ShardId,
        val grantId: GrantId,
        val endpoint: EndpointId,
        val isInterrupting: Boolean,
        val resume: Resume?
    ) : RequestState

    /** The endpoint crashed; the caller is answered when all hosts know about the crash. */
    data class ReportingCrash(val crashId: String, val detail: String) : RequestState

    /** Finished. The answer, if kept, is in the [AnswerStore]. */
    data object Done : RequestState

    /** Did not run and will not run. */
    data object NotRun : RequestState

    /** Started, but its outcome is not known. */
    data object Unknown : RequestState
}

/** A preempted stream, which can only continue on [endpoint]. */
internal data class Resume(val endpoint: EndpointId, val sentTokens: Int)

/** A request with its state. */
internal class TrackedRequest(
    val request: CallerRequest,
    val isSuspect: Boolean,
    val startedAtMs: Long,
    var state: RequestState
) {
    /** Number of dispatches of which the endpoint proved that nothing ran. */
    var provenNotRunCount: Int = 0

    /** Whether a claim for this request was sent and may have been won. */
    var hasClaimed: Boolean = false

    /** Time of the last state change that ended the request. */
    var endedAtMs: Long = 0

    val isOpen: Boolean
        get() = when (state) {
            RequestState.Done, RequestState.NotRun, RequestState.Unknown -> false

            is RequestState.Claiming,
            is RequestState.QueryingOutcome,
            is RequestState.QueryingKey,
            is RequestState.Waiting,
            is RequestState.Dispatched,
            is RequestState.ReportingCrash
            -> true
        }

    /**
     * Status of the request's key according to this request alone. A request that ended because
     * another attempt holds the key is [RequestState.NotRun] and counts as unseen; one whose claim
     * is not decided yet counts as running, since it may still win.
     */
    val keyStatus: KeyStatus
        get() = when (state) {
            RequestState.NotRun, is RequestState.QueryingKey, is RequestState.QueryingOutcome ->
                KeyStatus.UNSEEN

            is RequestState.Claiming, is RequestState.Waiting, is RequestState.Dispatched ->
                KeyStatus.RUNNING

            is RequestState.ReportingCrash, RequestState.Done, RequestState.Unknown ->
                KeyStatus.UNKNOWN
        }

    /** Time until the deadline at [nowMs]; null without deadline. */
    fun timeLeftMs(nowMs: Long): Long? = request.timeLeftMs?.let { startedAtMs + it - nowMs }
}
