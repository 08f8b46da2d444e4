package cowslipcart.core.config

import cowslipcart.core.model.HostId
import cowslipcart.core.model.LogOffset

/**
 * Decides whether a starting host knows a configuration at least as new as any that its peers have
 * in force. Once ready, it stays ready.
 */
public interface ReadinessGate {
    /** Whether the host may take requests. */
    public val isReady: Boolean

    /** A read of the log reached its end at [endOffset]. */
    public fun onLogEnd(endOffset: LogOffset)

    /** A read of the log failed. */
    public fun onLogFailure()

    /**
     * Peer [host] has applied the configuration before [nextOffset]; [isPeerReady] tells whether
     * that peer is ready itself. During a log outage, hosts that all started without the log must
     * not take each other's empty configuration for the newest one.
     */
    public fun onPeerOffset(host: HostId, nextOffset: LogOffset, isPeerReady: Boolean)

    /**
     * Peer [host] did not answer in time. With the log this host need not wait for it; without the
     * log it must.
     */
    public fun onPeerSilent(host: HostId)

    /** The platform lists these other hosts as live; null while the list cannot be read. */
    public fun onListedPeers(hosts: Set<HostId>?)

    /** This host has applied the configuration before [nextOffset]. */
    public fun onOwnOffset(nextOffset: LogOffset)

    /** What is missing, for logs and `/readyz`; empty when ready. */
    public fun describeMissing(): List<String>
}
