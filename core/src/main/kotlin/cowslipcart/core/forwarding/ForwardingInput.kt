package cowslipcart.core.forwarding

import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.Fingerprint
import cowslipcart.core.model.HostId
import cowslipcart.core.model.IncarnationId
import cowslipcart.core.model.OrganisationId
import cowslipcart.core.model.VersionId
import cowslipcart.core.rollout.RolloutChange
import cowslipcart.core.rollout.RolloutEffect
import cowslipcart.core.routing.RoutingTable

/** Longest backoff that is heeded, far above the time in which an endpoint recovers, in ms. */
public const val MAX_BACKOFF_MS: Long = 600_000L

/** An event for the control thread. */
public sealed interface ForwardingInput {
    /** A request was received in full. */
    public data class Arrived(public val call: ForwardedCall) : ForwardingInput

    /** The first event, or the whole answer, of [attempt] arrived, so the prefill is complete. */
    public data class ResponseStarted(public val call: CallId, public val attempt: Int) :
        ForwardingInput

    /**
     * The endpoint of [attempt] is silent. The attempt goes on. A [CallCommand.TakeOver] follows if
     * another endpoint is asked to take over, a [CallCommand.Hedge] if another one runs the request
     * as well.
     */
    public data class AttemptStalled(public val call: CallId, public val attempt: Int) :
        ForwardingInput

    /**
     * An attempt ended; the call waits for the next command unless it has been answered.
     *
     * @property attempt number of the attempt
     * @property gapCount event gaps in the fastest part of the stream; 0 without a stream
     * @property gapDurationMs duration of that part
     */
    public data class AttemptEnded(
        public val call: CallId,
        public val attempt: Int,
        public val outcome: AttemptOutcome,
        public val gapCount: Int = 0,
        public val gapDurationMs: Long = 0
    ) : ForwardingInput

    /** This host has tried to connect to [endpoint], for a request or as a probe. */
    public data class ConnectionTried(
        public val endpoint: EndpointId,
        public val isConnected: Boolean
    ) : ForwardingInput

    /** [endpoint] has said in an answer that it leaves. */
    public data class EndpointLeaving(public val endpoint: LeavingEndpoint) : ForwardingInput

    /** [endpoint] has refused a request of this host and wants no more for [durationMs]. */
    public data class BackoffRequested(
        public val endpoint: EndpointId,
        public val durationMs: Long
    ) : ForwardingInput

    /**
     * [endpoint] has stated that it falls over if it has to decline more than [limitPerS] requests
     * in a second.
     */
    public data class DeclineLimitStated(
        public val endpoint: EndpointId,
        public val limitPerS: Int
    ) : ForwardingInput

    /** [endpoint] has stated its load in an answer to this host. */
    public data class LoadStated(public val endpoint: EndpointId, public val load: StatedLoad) :
        ForwardingInput

    /** The call ended; its slot and its place in the queue are released if it still has them. */
    public data class CallClosed(public val call: CallId) : ForwardingInput

    /** The operator's configuration changed. */
    public data class RoutingChanged(public val table: RoutingTable) : ForwardingInput

    /** The complete list of endpoints that may take work or are draining. */
    public data class EndpointsChanged(public val entries: List<EndpointEntry>) : ForwardingInput

    /**
     * The list of endpoints is complete as of [asOfMs] of the monotonic clock.
     *
     * @property isStoreLost whether the store did not answer the last read
     */
    public data class EndpointsKnown(public val asOfMs: Long, public val isStoreLost: Boolean) :
        ForwardingInput

    /** Records of endpoints that were written after [writtenAfterMs] of the monotonic clock. */
    public data class EndpointHeartbeats(
        public val heartbeats: List<EndpointHeartbeat>,
        public val writtenAfterMs: Long
    ) : ForwardingInput

    /** Load reports of other hosts arrived, in this order. */
    public data class PeersReported(public val reports: List<HostLoadReport>) : ForwardingInput

    /** Another host, [host], can't connect to [endpoints]. */
    public data class EndpointsLost(
        public val host: HostId,
        public val endpoints: Set<EndpointId>
    ) : ForwardingInput

    /** Another host shut down gracefully. */
    public data class PeerLeft(public val host: HostId) : ForwardingInput

    /**
     * News of the operator's orders to move pools to other versions.
     *
     * @property wallNowMs wall-clock time, for records that outlive the hosts
     */
    public data class RolloutsChanged(
        public val change: RolloutChange,
        public val wallNowMs: Long
    ) : ForwardingInput

    /** The quarantines that the platform's store holds, read as this host started. */
    public data class QuarantinesRead(public val quarantines: List<QuarantinedRequest>) :
        ForwardingInput

    /** The versions that the platform's store holds, read as this host started. */
    public data class VersionsRead(public val versions: Set<PoolVersion>) : ForwardingInput

    /** The platform's store named [versions], in force or recent, in a read begun at [asOfMs]. */
    public data class VersionsConfirmed(
        public val versions: Set<PoolVersion>,
        public val asOfMs: Long
    ) : ForwardingInput

    /** The platform's store has taken [version]. */
    public data class VersionStored(public val version: PoolVersion) : ForwardingInput

    /** The platform's store came back from an older copy; what hosts wrote lately may be lost. */
    public data object StoreReplaced : ForwardingInput

    /** Another host told which versions began streams. */
    public data class StreamsTold(public val versions: Map<StreamKey, VersionId>) : ForwardingInput

    /** [host] asks which version began [stream]. */
    public data class StreamAsked(public val host: HostId, public val stream: StreamKey) :
        ForwardingInput

    /** Lets the control thread act on elapsed time. */
    public data object Tick : ForwardingInput
}

/** A decision of the control thread, to be carried out by its caller. */
public sealed interface ForwardingEffect {
    /** Sends [command] to a waiting call; [context] holds the decision's inputs for the log. */
    public data class Command(
        public val call: ForwardedCall,
        public val command: CallCommand,
        public val context: DecisionContext
    ) : ForwardingEffect

    /** Logs a change in what this host knows of an endpoint, a host or the routing. */
    public data class LogStateChange(
        public val subject: String,
        public val change: String,
        public val reason: String
    ) : ForwardingEffect

    /** A decision on the move of a pool to another version. */
    public data class Rollout(public val effect: RolloutEffect) : ForwardingEffect

    /** A change of what the platform's store holds of quarantines. */
    public data class Quarantine(public val effect: QuarantineEffect) : ForwardingEffect

    /** Connects to [endpoint] and closes the connection, to see whether this host can. */
    public data class Probe(public val endpoint: EndpointEntry) : ForwardingEffect

    /** Whether this host reaches endpoints itself, and so may relay connections, has changed. */
    public data class ReachChanged(public val isDirect: Boolean) : ForwardingEffect

    /** Tells the other hosts that this one can't connect to [endpoints]. */
    public data class TellLost(public val endpoints: Set<EndpointId>) : ForwardingEffect

    /** What others get to know of the versions of streams. */
    public data class Stream(public val effect: StreamEffect) : ForwardingEffect
}

/** A change of the stored quarantines, which outlive the hosts. */
public sealed interface QuarantineEffect {
    /** Stores [request] in place of what was stored of it. */
    public data class Keep(public val request: QuarantinedRequest) : QuarantineEffect

    /** Removes what was stored of the request. */
    public data class Drop(public val fingerprint: Fingerprint) : QuarantineEffect
}

/**
 * Inputs of a decision, for the log.
 *
 * @property revision revision of the configuration in force
 * @property freeSlots slots of the pool without a request
 * @property slotCount slots of the pool
 * @property liveHosts hosts whose reports are recent, this one included
 * @property knownHosts hosts that are not known to be gone, this one included
 * @property waitedMs time since the request arrived
 * @property unitsAsked units of its organisation's limit that the request costs
 * @property unitsLeft units left in this host's copy of the bucket; null without a limit
 * @property remainingMs time until the caller gives up
 * @property selected what was assumed of the endpoint that was chosen; null if none was
 */
public data class DecisionContext(
    public val revision: Long,
    public val freeSlots: Long,
    public val slotCount: Long,
    public val liveHosts: Int,
    public val knownHosts: Int,
    public val waitedMs: Long,
    public val unitsAsked: Long,
    public val unitsLeft: Long?,
    public val remainingMs: Long = 0,
    public val selected: SelectedEndpoint? = null
)

/**
 * What a host assumed of an endpoint as it chose it.
 *
 * @property running requests of all hosts there, this one included
 * @property firstTokenMs expected time to the first token
 */
public data class SelectedEndpoint(public val running: Int, public val firstTokenMs: Long)

/**
 * Load report of one host for the others. Loads are current values and usage is a total since the
 * start of the process, so the next report makes up for a lost one.
 *
 * @property sequence number of the report, from 1 in each incarnation
 * @property loads load of the host's own requests, without idle endpoints
 * @property msPerToken decode times measured since the last report, in ms per token
 * @property unitsUsed units of the limits that the host has used, by organisation
 * @property prefilledParts prompt parts that endpoints have prefilled since the last report
 * @property crashes recent connections that were lost while an endpoint ran a request
 * @property suspectedParts what the host knows of prompt parts that may crash endpoints
 * @property leavingEndpoints endpoints of which the host has learned lately that they leave
 * @property answers recent answers to requests that had been in a notice of a crash
 */
public data class HostLoadReport(
    public val host: HostId,
    public val incarnation: IncarnationId,
    public val sequence: Long,
    public val profile: HostProfile,
    public val loads: Map<EndpointId, HostLoad>,
    public val msPerToken: Map<EndpointId, Double>,
    public val unitsUsed: Map<OrganisationId, Double>,
    public val prefilledParts: List<PrefilledPart>,
    public val crashes: List<CrashNotice>,
    public val suspectedParts: List<SuspectedPart> = emptyList(),
    public val leavingEndpoints: List<LeavingEndpoint> = emptyList(),
    public val answers: List<AnswerNotice> = emptyList(),
    public val quarantines: List<QuarantinedRequest> = emptyList(),
    public val endpointRuns: List<EndpointRun> = emptyList()
)

/** [endpoint] has prefilled [part], so its prefix cache may hold it. */
public data class PrefilledPart(public val part: PromptPartId, public val endpoint: EndpointId)

/** What a host has seen of a request; [number] numbers the notices of its process, from 1. */
public sealed interface RequestNotice {
    public val number: Long
    public val fingerprint: Fingerprint
}

/** The connection to [endpoint] was lost while it ran a request. */
public data class CrashNotice(
    override val number: Long,
    override val fingerprint: Fingerprint,
    public val endpoint: EndpointId
) : RequestNotice

/** An endpoint ran a request to its end that had been in a notice of a crash. */
public data class AnswerNotice(override val number: Long, override val fingerprint: Fingerprint) :
    RequestNotice
