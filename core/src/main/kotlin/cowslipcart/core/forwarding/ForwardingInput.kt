package cowslipcart.core.forwarding

import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.Fingerprint
import cowslipcart.core.model.HostId
import cowslipcart.core.model.IncarnationId
import cowslipcart.core.model.OrganisationId
import cowslipcart.core.routing.RoutingTable

/** What the control thread is told. */
public sealed interface ForwardingInput {
    /** A whole request was read. */
    public data class Arrived(public val call: ForwardedCall) : ForwardingInput

    /** The first bytes of the answer are here, so its prompt has been read. */
    public data class Answering(public val call: CallId) : ForwardingInput

    /**
     * An attempt ended; the call waits for the next command unless it has its answer.
     *
     * @property streamedEvents pauses in the quickest part of the stream, 0 for a plain answer
     * @property streamedMs time that they took
     */
    public data class AttemptEnded(
        public val call: CallId,
        public val outcome: AttemptOutcome,
        public val streamedEvents: Int = 0,
        public val streamedMs: Long = 0
    ) : ForwardingInput

    /** The call ended; whatever it holds is free, if it has not been before. */
    public data class CallClosed(public val call: CallId) : ForwardingInput

    /** The operator's configuration changed. */
    public data class RoutingChanged(public val table: RoutingTable) : ForwardingInput

    /** The endpoints that may take work, in full. */
    public data class EndpointsChanged(public val entries: List<EndpointEntry>) : ForwardingInput

    /** Figures of another host. */
    public data class PeerReported(public val figures: HostFigures) : ForwardingInput

    /** Another host stopped in good order. */
    public data class PeerLeft(public val host: HostId) : ForwardingInput

    /** Time passed. */
    public data object Tick : ForwardingInput
}

/** What the control thread decided. */
public sealed interface ForwardingEffect {
    /** Tells a waiting call what to do. */
    public data class Command(
        public val call: ForwardedCall,
        public val command: CallCommand,
        public val line: DecisionFacts
    ) : ForwardingEffect

    /** Notes a changed belief about an endpoint or a host. */
    public data class Belief(
        public val subject: String,
        public val change: String,
        public val reason: String
    ) : ForwardingEffect
}

/**
 * Inputs of a decision, for the log.
 *
 * @property revision configuration that was in force
 * @property freeSlots places of the pool that no request takes
 * @property heardHosts hosts whose figures are recent
 * @property waitedMs time since the request arrived
 * @property unitsAsked units of its organisation's limit that the request counts as
 * @property unitsLeft units that this host took as left; null without a limit
 */
public data class DecisionFacts(
    public val revision: Long,
    public val freeSlots: Int,
    public val slotCount: Int,
    public val heardHosts: Int,
    public val knownHosts: Int,
    public val waitedMs: Long,
    public val unitsAsked: Long,
    public val unitsLeft: Long?
)

/**
 * What one host tells the others. Counts are totals since the start of its process, so a lost
 * message changes nothing.
 *
 * @property profile what places the host among the others
 * @property loads endpoints at which the host has requests
 * @property tokenMs time of one token at endpoints, as measured since the last report
 * @property unitsUsed units of limits that the host admitted, by organisation
 * @property readParts parts of prompts that endpoints read lately
 * @property crashes fingerprints that were at an endpoint when its connection broke lately
 */
public data class HostFigures(
    public val host: HostId,
    public val incarnation: IncarnationId,
    public val sequence: Long,
    public val profile: HostProfile,
    public val loads: Map<EndpointId, HostLoad>,
    public val tokenMs: Map<EndpointId, Double>,
    public val unitsUsed: Map<OrganisationId, Double>,
    public val readParts: List<ReadPart>,
    public val crashes: List<CrashNotice>
)

/** [endpoint] has read [part]. */
public data class ReadPart(public val part: PromptPartId, public val endpoint: EndpointId)

/**
 * A request broke the connection to an endpoint.
 *
 * @property number counts the notices of one process, from 1
 */
public data class CrashNotice(
    public val number: Long,
    public val fingerprint: Fingerprint,
    public val endpoint: EndpointId
)
