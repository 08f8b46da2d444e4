package cowslipcart.experiment.sim

import cowslipcart.core.capacity.RefusalReason
import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.HostId
import cowslipcart.core.model.RequestId
import cowslipcart.core.model.Tier

/** One event of a run, in the order in which it happened; input of the checkers. */
public sealed interface TraceEvent {
    /** Virtual time in milliseconds. */
    public val atMs: Long

    /** The scheduler received a request for the first time. */
    public data class Asked(
        override val atMs: Long,
        public val requestId: RequestId,
        public val origin: HostId,
        public val tier: Tier,
        public val isInterruptible: Boolean
    ) : TraceEvent

    /** The scheduler granted [endpoint]. */
    public data class Granted(
        override val atMs: Long,
        public val requestId: RequestId,
        public val endpoint: EndpointId
    ) : TraceEvent

    /** The origin sent the request to [endpoint], or resumed its stream there. */
    public data class Dispatched(
        override val atMs: Long,
        public val requestId: RequestId,
        public val endpoint: EndpointId,
        public val isResume: Boolean
    ) : TraceEvent

    /** The scheduler preempted the request: it ordered the origin to cancel its stream. */
    public data class GiveWayOrdered(override val atMs: Long, public val requestId: RequestId) :
        TraceEvent

    /**
     * The scheduler learned that the preempted stream was cancelled; [resumesOn] is the only
     * endpoint where it can continue, null if it cannot.
     */
    public data class GaveWay(
        override val atMs: Long,
        public val requestId: RequestId,
        public val resumesOn: EndpointId?
    ) : TraceEvent

    /** The scheduler learned that the request's grant has ended. */
    public data class Released(override val atMs: Long, public val requestId: RequestId) :
        TraceEvent

    /** The scheduler refused the request. */
    public data class Refused(
        override val atMs: Long,
        public val requestId: RequestId,
        public val reason: RefusalReason
    ) : TraceEvent

    /** The deadline of a request passed while it waited for a grant. */
    public data class Expired(override val atMs: Long, public val requestId: RequestId) :
        TraceEvent

    /** An origin host died with all its requests. */
    public data class HostKilled(override val atMs: Long, public val host: HostId) : TraceEvent
}
