package cowslipcart.core.config

import cowslipcart.core.model.HostId
import cowslipcart.core.model.LogOffset

/**
 * Decides whether a starting host knows a configuration at least as new as any that was in force
 * when it started. Only a read of the log that began after the start shows that: a host that has
 * died may have served a preset that no live peer has seen. Once ready, it stays ready.
 */
public interface ReadinessGate {
    /** Whether the host may take requests. */
    public val isReady: Boolean

    /** Whether the end of the log is known by a read that began after the start of this process. */
    public val isLogEndKnown: Boolean

    /** A read of this process found the end of the log at [endOffset]. */
    public fun onLogEnd(endOffset: LogOffset)

    /**
     * Peer [host] has applied the configuration before [nextOffset].
     *
     * @param isLogEnd whether a read by the peer that began after the start of this process found
     * no record from [nextOffset] on
     */
    public fun onPeerOffset(host: HostId, nextOffset: LogOffset, isLogEnd: Boolean)

    /** Peer [host] did not answer in time; this host need not wait for it. */
    public fun onPeerSilent(host: HostId)

    /** The platform lists these other hosts as live; null while the list cannot be read. */
    public fun onListedPeers(hosts: Set<HostId>?)

    /** This host has applied the configuration before [nextOffset]. */
    public fun onOwnOffset(nextOffset: LogOffset)

    /** What is missing, for logs and `/readyz`; empty when ready. */
    public fun describeMissing(): List<String>
}
