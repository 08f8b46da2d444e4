package cowslipcart.core.origin

import cowslipcart.core.capacity.CapacityRequest
import cowslipcart.core.capacity.GrantReport
import cowslipcart.core.capacity.RunningGrant
import cowslipcart.core.claims.ClaimItem
import cowslipcart.core.claims.ProcessId
import cowslipcart.core.claims.RequestKey
import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.Fingerprint
import cowslipcart.core.model.GrantId
import cowslipcart.core.model.OrganisationId
import cowslipcart.core.model.RequestId
import cowslipcart.core.model.ShardId

/** Action that an [OriginController] wants to have performed. */
public sealed interface OriginEffect {
    /** Message to the owner of [shard]. */
    public sealed interface ToShardOwner : OriginEffect {
        public val shard: ShardId
    }

    /**
     * Have a claim decided.
     *
     * @property isDurable whether it is decided through the log rather than in memory
     */
    public data class SendClaim(public val claim: ClaimItem.Claim, public val isDurable: Boolean) :
        OriginEffect

    /** Send a release or an outcome to the host that decided the claim. */
    public data class SendClaimItem(public val item: ClaimItem, public val isDurable: Boolean) :
        OriginEffect

    /** Ask the origin of an earlier attempt for its outcome. */
    public data class SendOutcomeQuery(
        public val organisation: OrganisationId,
        public val requestId: RequestId,
        public val origin: ProcessId
    ) : OriginEffect

    /** Ask all hosts whether a request with [key] is known to them. */
    public data class SendKeyQuery(public val requestId: RequestId, public val key: RequestKey) :
        OriginEffect

    /** Ask the owner of [shard] for capacity; [askCount] rises with each repetition. */
    public data class SendAsk(
        override val shard: ShardId,
        public val request: CapacityRequest,
        public val askCount: Long
    ) : ToShardOwner

    /** Cancel the ask of a request that waits at the owner of [shard]. */
    public data class SendCancelAsk(override val shard: ShardId, public val requestId: RequestId) :
        ToShardOwner

    /** Give a grant back. */
    public data class SendReleased(override val shard: ShardId, public val report: GrantReport) :
        ToShardOwner

    /**
     * Give a grant back because its request was preempted; [resume] is null if it cannot continue.
     */
    public data class SendPreempted(
        override val shard: ShardId,
        public val report: GrantReport,
        public val resume: CapacityRequest?
    ) : ToShardOwner

    /** Report to the new owner of [shard] the grants that are in use on this host. */
    public data class SendRunning(
        override val shard: ShardId,
        public val running: List<RunningGrant>
    ) : ToShardOwner

    /** Send the request to [endpoint]; if [isResume], continue its cancelled stream. */
    public data class Dispatch(
        public val requestId: RequestId,
        public val grantId: GrantId,
        public val shard: ShardId,
        public val endpoint: EndpointId,
        public val isResume: Boolean
    ) : OriginEffect

    /** Cancel the stream so that it can be resumed, and report [StreamEnd.Interrupted]. */
    public data class InterruptStream(public val requestId: RequestId) : OriginEffect

    /** Cancel the stream because its caller disconnected. */
    public data class CancelStream(public val requestId: RequestId) : OriginEffect

    /** Answer the caller with a problem document. */
    public data class Reject(public val requestId: RequestId, public val rejection: Rejection) :
        OriginEffect

    /** Answer the caller with the answer of an earlier attempt. */
    public data class Replay(public val requestId: RequestId, public val answer: StoredAnswer) :
        OriginEffect

    /**
     * Report a crash to all hosts; [OriginController.onCrashAcknowledged] follows.
     *
     * @property ranAlone whether the request ran alone on the endpoint, as suspects do
     */
    public data class ReportCrash(
        public val crashId: String,
        public val endpoint: EndpointId,
        public val fingerprint: Fingerprint,
        public val ranAlone: Boolean
    ) : OriginEffect

    /** Report that a request with [fingerprint] finished normally. */
    public data class ReportCompleted(public val fingerprint: Fingerprint) : OriginEffect
}

/**
 * What is known about an idempotency key; if sources differ, the later constant takes precedence.
 */
public enum class KeyStatus {
    /** No request with the key was dispatched, and none waits to be. */
    UNSEEN,

    /** A request with the key waits or runs. */
    RUNNING,

    /** A request with the key was dispatched, or it cannot be ruled out. */
    UNKNOWN
}

/** Outcome of a request, as far as its origin knows it. */
public sealed interface RequestOutcome {
    /** It waits or runs. */
    public data object Running : RequestOutcome

    /** It did not run and will not run. */
    public data object NotRun : RequestOutcome

    /** It finished with this answer. */
    public data class Answered(public val answer: StoredAnswer) : RequestOutcome

    /** It started and its outcome is not known, or its answer is no longer kept. */
    public data object Unknown : RequestOutcome
}
