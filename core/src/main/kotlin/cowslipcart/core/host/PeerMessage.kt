package cowslipcart.core.host

import cowslipcart.core.capacity.CapacityRequest
import cowslipcart.core.capacity.GrantProgress
import cowslipcart.core.capacity.GrantReport
import cowslipcart.core.capacity.RefusalReason
import cowslipcart.core.capacity.RunningGrant
import cowslipcart.core.claims.ClaimItem
import cowslipcart.core.claims.ClaimVerdict
import cowslipcart.core.claims.RequestKey
import cowslipcart.core.config.ConfigState
import cowslipcart.core.membership.PingContent
import cowslipcart.core.model.AttemptId
import cowslipcart.core.model.ConfigFetchId
import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.GrantId
import cowslipcart.core.model.HostId
import cowslipcart.core.model.IncarnationId
import cowslipcart.core.model.OrganisationId
import cowslipcart.core.model.RequestId
import cowslipcart.core.model.ShardId
import cowslipcart.core.origin.KeyStatus
import cowslipcart.core.origin.RequestOutcome
import cowslipcart.core.quarantine.CrashReport

/** Message between two hosts. The encoding is in the `wire` module. */
public sealed interface PeerMessage {
    /** Message of an origin, the host that received a request, to the owner of [shard]. */
    public sealed interface ToShardOwner : PeerMessage {
        public val shard: ShardId
    }

    /** Decision or reply to the origin of a request. */
    public sealed interface ToOrigin : PeerMessage

    /**
     * Membership ping.
     *
     * @property isReady whether the sender serves requests
     * @property isLogReadable whether the sender's reads of the configuration stream reach its end
     */
    public data class Ping(
        public val content: PingContent,
        public val isReady: Boolean,
        public val isLogReadable: Boolean
    ) : PeerMessage

    /** Answer to a [Ping]. */
    public data class PingAck(
        public val content: PingContent,
        public val isReady: Boolean,
        public val isLogReadable: Boolean
    ) : PeerMessage

    /** Asks the receiver to ping [target]. */
    public data class PingRequest(public val target: HostId) : PeerMessage

    /**
     * Origin to owner: asks for capacity.
     *
     * @property askCount number of the ask, counted from 1 per request and shard; each repetition
     * raises it
     */
    public data class AskCapacity(
        override val shard: ShardId,
        public val request: CapacityRequest,
        public val askCount: Long
    ) : ToShardOwner

    /**
     * Owner to origin: the request may be dispatched. [askCount] is that of the last ask received.
     */
    public data class CapacityGranted(
        public val shard: ShardId,
        public val requestId: RequestId,
        public val grantId: GrantId,
        public val endpoint: EndpointId,
        public val askCount: Long
    ) : ToOrigin

    /** Owner to origin: the request will not run on this shard. */
    public data class CapacityRefused(
        public val shard: ShardId,
        public val requestId: RequestId,
        public val reason: RefusalReason,
        public val retryAfterMs: Long?
    ) : ToOrigin

    /** Origin to owner: a grant ended. */
    public data class CapacityReleased(
        override val shard: ShardId,
        public val report: GrantReport
    ) : ToShardOwner

    /** Origin to owner: progress of running streams. */
    public data class CapacityProgress(
        override val shard: ShardId,
        public val reports: List<GrantProgress>
    ) : ToShardOwner

    /** Origin to owner: cancels the ask of a waiting request. */
    public data class CancelAsk(override val shard: ShardId, public val requestId: RequestId) :
        ToShardOwner

    /** Owner to origin: preempt a running request, as more urgent work needs its capacity. */
    public data class GiveWay(
        public val shard: ShardId,
        public val requestId: RequestId,
        public val grantId: GrantId
    ) : ToOrigin

    /** Origin to owner: a request was preempted; [resume] is null if it cannot continue. */
    public data class GaveWay(
        override val shard: ShardId,
        public val report: GrantReport,
        public val resume: CapacityRequest?
    ) : ToShardOwner

    /** Origin to a new owner: grants that are in use. */
    public data class RunningReport(
        override val shard: ShardId,
        public val running: List<RunningGrant>
    ) : ToShardOwner

    /**
     * Origin to batcher or key owner: decide a claim.
     *
     * @property partition partition of the batcher; null for a key owner
     */
    public data class ClaimRequest(public val partition: Int?, public val claim: ClaimItem.Claim) :
        PeerMessage

    /** Batcher or key owner to origin: the decision. */
    public data class ClaimReply(public val attempt: AttemptId, public val verdict: ClaimVerdict) :
        ToOrigin

    /**
     * Origin to batcher or key owner: a release or an outcome.
     *
     * @property partition as in the [ClaimRequest]
     */
    public data class ClaimNotice(public val partition: Int?, public val item: ClaimItem) :
        PeerMessage

    /**
     * Asks the origin of a request for its outcome.
     *
     * @property organisation the one that asks; null if an operator asks
     * @property incarnation the process that received the request
     */
    public data class OutcomeQuery(
        public val organisation: OrganisationId?,
        public val requestId: RequestId,
        public val incarnation: IncarnationId
    ) : PeerMessage

    /**
     * Answer to an [OutcomeQuery].
     *
     * @property organisation as in the query, so that one organisation does not get the answer to
     * another that asks about the same request at the same time
     */
    public data class OutcomeReply(
        public val organisation: OrganisationId?,
        public val requestId: RequestId,
        public val outcome: RequestOutcome
    ) : ToOrigin

    /** Asks what the receiver knows about an idempotency key. */
    public data class KeyQuery(public val requestId: RequestId, public val key: RequestKey) :
        PeerMessage

    /** Answer to a [KeyQuery]. */
    public data class KeyReply(public val requestId: RequestId, public val status: KeyStatus) :
        PeerMessage

    /** An endpoint crashed while requests ran on it. */
    public data class CrashNotice(public val report: CrashReport) : PeerMessage

    /** Acknowledges a [CrashNotice]. */
    public data class CrashAck(public val crashId: String) : PeerMessage

    /** Asks for the configuration and its offset. */
    public data class ConfigFetch(public val fetchId: ConfigFetchId) : PeerMessage

    /**
     * Answer to a [ConfigFetch].
     *
     * @property logReadAgeMs time from the start of the sender's last log read that reached the end
     * of the log to this answer; null if there was none
     */
    public data class ConfigReply(
        public val fetchId: ConfigFetchId,
        public val state: ConfigState,
        public val logReadAgeMs: Long?
    ) : PeerMessage

    /**
     * Asks for a further part of a state that is sent in parts. If the receiver's state has changed
     * since, it answers as to a [ConfigFetch].
     */
    public data class ConfigPartFetch(
        public val fetchId: ConfigFetchId,
        public val transferId: Long,
        public val index: Int
    ) : PeerMessage

    /**
     * Answer to a [ConfigFetch] or [ConfigPartFetch] if the state is too large for one message.
     *
     * @property reply the answer with a part of the declarations
     * @property transferId random id of the sender's state; parts with another id belong to another
     * state
     * @property index index of the part, from 0
     * @property declarationCount number of declarations in all parts together
     */
    public data class ConfigPart(
        public val reply: ConfigReply,
        public val transferId: Long,
        public val index: Int,
        public val partCount: Int,
        public val declarationCount: Int
    ) : PeerMessage

    /** Origin to quota holder: asks for tokens of an organisation's limit. */
    public data class QuotaAsk(
        public val organisation: OrganisationId,
        public val askedTokens: Long
    ) : PeerMessage

    /** Quota holder to origin: granted tokens, 0 for none. */
    public data class QuotaGranted(
        public val organisation: OrganisationId,
        public val grantedTokens: Long
    ) : PeerMessage
}
