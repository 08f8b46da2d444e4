package cowslipcart.core.host

import cowslipcart.core.capacity.GrantProgress
import cowslipcart.core.capacity.LoadReport
import cowslipcart.core.capacity.NumberedCacheEvent
import cowslipcart.core.claims.ClaimRecord
import cowslipcart.core.claims.EpochRecord
import cowslipcart.core.config.ConfigRecord
import cowslipcart.core.log.LogError
import cowslipcart.core.membership.HostList
import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.HostId
import cowslipcart.core.model.LogOffset
import cowslipcart.core.model.OrganisationId
import cowslipcart.core.model.RequestId
import cowslipcart.core.model.ShardId
import cowslipcart.core.origin.CallerRequest
import cowslipcart.core.origin.StreamEnd

/** Event from outside the control thread. */
public sealed interface HostInput {
    /** Result of an access to a claims partition of the log. */
    public sealed interface Claims : HostInput

    /** A caller sent a request. */
    public data class RequestReceived(public val request: CallerRequest) : HostInput

    /** A caller closed its connection before the answer was complete. */
    public data class CallerDisconnected(public val requestId: RequestId) : HostInput

    /** The exchange with an endpoint ended. */
    public data class StreamEnded(public val requestId: RequestId, public val end: StreamEnd) :
        HostInput

    /** Progress of running streams, by shard. */
    public data class StreamProgress(public val reports: Map<ShardId, List<GrantProgress>>) :
        HostInput

    /** A peer's message arrived; [from] is authenticated. */
    public data class PeerMessageReceived(
        public val from: HostId,
        public val message: PeerMessage
    ) : HostInput

    /** The platform's list was read. */
    public data class HostListRead(public val list: HostList) : HostInput

    /** The platform's list could not be read. */
    public data object HostListFailed : HostInput

    /** An endpoint reported its load. */
    public data class LoadRead(public val report: LoadReport) : HostInput

    /** A load poll of an endpoint failed. */
    public data class LoadFailed(public val endpoint: EndpointId) : HostInput

    /**
     * An endpoint reported changes of its prefix cache.
     *
     * @property fromIndex index of the first event that the read asked for
     * @property isTruncated whether more events remained than fitted the read
     * @property sizeBytes size of the answer
     */
    public data class CacheRead(
        public val endpoint: EndpointId,
        public val fromIndex: Long,
        public val events: List<NumberedCacheEvent>,
        public val isTruncated: Boolean,
        public val sizeBytes: Int
    ) : HostInput

    /** A read of an endpoint's cache events failed. */
    public data class CacheReadFailed(public val endpoint: EndpointId) : HostInput

    /**
     * Records of the stream `config`.
     *
     * @property sentAtMs when the read was sent to the log, on the clock of the controller
     */
    public data class ConfigRead(
        public val records: List<ConfigRecord>,
        public val firstKeptOffset: LogOffset,
        public val endOffset: LogOffset,
        public val sentAtMs: Long
    ) : HostInput

    /** The stream `config` could not be read. */
    public data object ConfigReadFailed : HostInput

    /** Records of the stream `epochs`. */
    public data class EpochsRead(public val records: List<EpochRecord>) : HostInput

    /** Records of a claims partition. */
    public data class ClaimsRead(
        public val partition: Int,
        public val records: List<ClaimRecord>,
        public val firstKeptOffset: LogOffset,
        public val endOffset: LogOffset
    ) : Claims

    /** A claims partition could not be read. */
    public data class ClaimsReadFailed(public val partition: Int, public val error: LogError) :
        Claims

    /** A batch of claims was appended. */
    public data class ClaimsAppended(
        public val partition: Int,
        public val batchId: Long,
        public val offset: LogOffset
    ) : Claims

    /** The append of a batch of claims failed, or its answer was lost. */
    public data class ClaimsAppendFailed(
        public val partition: Int,
        public val batchId: Long,
        public val error: LogError
    ) : Claims

    /**
     * Query for the outcome of a request; answered by [HostEffect.ReportOutcome].
     *
     * @property organisation whose requests the asker may see; null for an operator, who may see
     * all
     */
    public data class FindOutcome(
        public val queryId: Long,
        public val organisation: OrganisationId?,
        public val requestId: RequestId
    ) : HostInput

    /** Start of a graceful shutdown; requests that still wait after [limitMs] end as not run. */
    public data class Drain(public val limitMs: Long) : HostInput

    /**
     * Time passed.
     *
     * @property wallNowMs wall clock, milliseconds since 1970; compared with the times of keys only
     */
    public data class Tick(public val wallNowMs: Long) : HostInput
}
