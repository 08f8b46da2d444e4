package cowslipcart.core.host

import cowslipcart.core.capacity.CacheGap
import cowslipcart.core.claims.ClaimItem
import cowslipcart.core.claims.EpochEntry
import cowslipcart.core.config.ConfigEntry
import cowslipcart.core.config.ConfigVerdict
import cowslipcart.core.model.Configuration
import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.EndpointSpec
import cowslipcart.core.model.GrantId
import cowslipcart.core.model.HostId
import cowslipcart.core.model.LogOffset
import cowslipcart.core.model.OrganisationId
import cowslipcart.core.model.RequestId
import cowslipcart.core.model.Revision
import cowslipcart.core.model.ShardId
import cowslipcart.core.model.Tier
import cowslipcart.core.origin.Rejection
import cowslipcart.core.origin.RequestOutcome
import cowslipcart.core.origin.StoredAnswer

/** Action that the I/O around the core has to perform. */
public sealed interface HostEffect {
    /**
     * Send a message to a peer, without a report of failure; the core resends what may not be lost.
     */
    public data class SendPeer(
        public val to: HostId,
        public val address: String,
        public val message: PeerMessage
    ) : HostEffect

    /** Send the request to [endpoint]; if [isResume], continue its cancelled stream there. */
    public data class Dispatch(
        public val requestId: RequestId,
        public val grantId: GrantId,
        public val shard: ShardId,
        public val endpoint: EndpointSpec,
        public val isResume: Boolean
    ) : HostEffect

    /** Cancel the stream so that it can be resumed. */
    public data class InterruptStream(public val requestId: RequestId) : HostEffect

    /** Cancel the stream. */
    public data class CancelStream(public val requestId: RequestId) : HostEffect

    /** Answer the caller with a problem document. */
    public data class Reject(public val requestId: RequestId, public val rejection: Rejection) :
        HostEffect

    /** Answer the caller with a stored answer. */
    public data class Replay(public val requestId: RequestId, public val answer: StoredAnswer) :
        HostEffect

    /**
     * Append a batch to a claims partition; [HostInput.ClaimsAppended] or
     * [HostInput.ClaimsAppendFailed] with the same [batchId] follows.
     */
    public data class AppendClaims(
        public val partition: Int,
        public val batchId: Long,
        public val items: List<ClaimItem>
    ) : HostEffect

    /**
     * Read a claims partition; [HostInput.ClaimsRead] or [HostInput.ClaimsReadFailed] follows.
     */
    public data class ReadClaims(public val partition: Int, public val from: LogOffset) : HostEffect

    /** Append a record to the stream `epochs`; its result is not reported back. */
    public data class AppendEpoch(public val entry: EpochEntry) : HostEffect

    /** Append a record to the stream `config`; its result is not reported back. */
    public data class AppendConfig(public val entry: ConfigEntry) : HostEffect

    /** Read the stream `config` now instead of at the next poll, because a peer is ahead. */
    public data object ReadConfigNow : HostEffect

    /** Report whether a configuration record was accepted. */
    public data class ReportConfigVerdict(public val verdict: ConfigVerdict) : HostEffect

    /** Put a changed configuration in force outside of the core. */
    public data class PublishConfiguration(
        public val configuration: Configuration,
        public val nextOffset: LogOffset
    ) : HostEffect

    /** Publish a change of readiness; [missing] lists what a host that is not ready waits for. */
    public data class PublishReadiness(
        public val isReady: Boolean,
        public val missing: List<String>
    ) : HostEffect

    /** Poll the load of exactly these endpoints from now on. */
    public data class PollLoad(public val endpoints: List<EndpointSpec>) : HostEffect

    /** Answer the [HostInput.FindOutcome] with the same [queryId]. */
    public data class ReportOutcome(public val queryId: Long, public val outcome: RequestOutcome) :
        HostEffect

    /** Write a log line for a routing or placement decision. */
    public data class LogDecision(public val decision: DecisionLine) : HostEffect

    /** Publish the list of live hosts for operators. */
    public data class PublishHosts(public val hosts: List<KnownHost>) : HostEffect

    /**
     * Read the cache events of [endpoint] from [fromIndex] on, at most [maxBytes] of the answer;
     * [HostInput.CacheRead] or [HostInput.CacheReadFailed] follows.
     */
    public data class ReadCacheEvents(
        public val endpoint: EndpointSpec,
        public val fromIndex: Long,
        public val maxBytes: Int
    ) : HostEffect

    /** Report that cache events of [endpoint] were missed. */
    public data class ReportCacheGap(public val endpoint: EndpointId, public val gap: CacheGap) :
        HostEffect

    /** Close connections to a peer that was declared dead. */
    public data class ClosePeerConnections(public val host: HostId) : HostEffect
}

/** Content of the log line of a decision. */
public data class DecisionLine(
    public val requestId: RequestId,
    public val organisation: OrganisationId,
    public val tier: Tier,
    public val shard: ShardId,
    public val candidates: List<EndpointId>,
    public val choice: String,
    public val reason: String,
    public val revision: Revision
)

/** A live host, as this host sees it. */
public data class KnownHost(
    public val host: HostId,
    public val peerAddress: String,
    public val domain: String,
    public val isOwner: Boolean,
    public val configOffset: LogOffset,
    public val isReady: Boolean
)
