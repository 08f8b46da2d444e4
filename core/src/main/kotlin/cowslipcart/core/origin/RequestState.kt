package cowslipcart.core.origin

import cowslipcart.core.claims.ClaimItem
import cowslipcart.core.claims.ClaimVerdict
import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.GrantId
import cowslipcart.core.model.RequestId
import cowslipcart.core.model.ShardId

/** State of a request at its origin. */
internal sealed interface RequestState {
    /** Waits for the verdict on its claim. */
    data class Claiming(val claim: ClaimItem.Claim, val sinceMs: Long, val sentAtMs: Long) :
        RequestState

    /** Another attempt holds the key; waits for what its origin knows. */
    data class Querying(val held: ClaimVerdict.Held, val queried: RequestId, val sinceMs: Long) :
        RequestState

    /** The claim could not be decided; waits for what the other hosts know about the key. */
    data class Inquiring(val detail: String, val sinceMs: Long) : RequestState

    /**
     * Waits for capacity. [askSentAtMs] is indexed by the ask count; only asks that a usable grant
     * can echo are kept.
     *
     * @property triedShards shards whose refusal still counts
     * @property sinceMs start of the wait, at whatever shards
     * @property askAgainAtMs time of the ask to a new owner; null if none is due
     * @property askedAtMs time of the first ask to [shard]
     */
    data class Waiting(
        val shard: ShardId,
        val askCount: Long,
        val askSentAtMs: Map<Long, Long>,
        val triedShards: Set<ShardId>,
        val sinceMs: Long,
        val resume: Resume?,
        val askAgainAtMs: Long? = null,
        val askedAtMs: Long = sinceMs
    ) : RequestState

    /** Bytes may have reached [endpoint]. */
    data class Dispatched(
        val shard: ShardId,
        val grantId: GrantId,
        val endpoint: EndpointId,
        val isInterrupting: Boolean,
        val resume: Resume?
    ) : RequestState

    /** The endpoint crashed; the caller is answered when the hosts know about it. */
    data class Settling(val crashId: String, val detail: String) : RequestState

    /** Finished. The answer, if kept, is in the [AnswerStore]. */
    data object Done : RequestState

    /** Did not run and will not run. */
    data object NotRun : RequestState

    /** Started, outcome not known. */
    data object Unknown : RequestState
}

/** A stream that was cancelled to give way and can only continue on [endpoint]. */
internal data class Resume(val endpoint: EndpointId, val sentTokens: Int)

/** A request with its state. */
internal class TrackedRequest(
    val request: CallerRequest,
    val isSuspect: Boolean,
    val startedAtMs: Long,
    var state: RequestState
) {
    /** Dispatches that an endpoint proved not run. */
    var provenNotRunCount: Int = 0

    /** Whether a claim of this request may be held somewhere. */
    var hasClaimed: Boolean = false

    /** Time of the last state change that ended the request. */
    var endedAtMs: Long = 0

    val isOpen: Boolean
        get() = when (state) {
            RequestState.Done, RequestState.NotRun, RequestState.Unknown -> false

            is RequestState.Claiming,
            is RequestState.Querying,
            is RequestState.Inquiring,
            is RequestState.Waiting,
            is RequestState.Dispatched,
            is RequestState.Settling
            -> true
        }

    /**
     * What this request says about its key. A request that ended because another holds the key is
     * [RequestState.NotRun] and says nothing; a claim in progress may still win.
     */
    val keyStanding: KeyStanding
        get() = when (state) {
            RequestState.NotRun, is RequestState.Inquiring, is RequestState.Querying ->
                KeyStanding.UNSEEN

            is RequestState.Claiming, is RequestState.Waiting, is RequestState.Dispatched ->
                KeyStanding.RUNNING

            is RequestState.Settling, RequestState.Done, RequestState.Unknown ->
                KeyStanding.UNKNOWN
        }

    /** Time until the deadline at [nowMs]; null without deadline. */
    fun timeLeftMs(nowMs: Long): Long? = request.timeLeftMs?.let { startedAtMs + it - nowMs }
}
