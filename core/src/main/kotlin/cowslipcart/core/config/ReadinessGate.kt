package cowslipcart.core.config

import cowslipcart.core.model.HostId
import cowslipcart.core.model.LogOffset

/**
 * Decides whether a starting host has a configuration at least as new as any that was in force on
 * some host when it started. Only a read of the log that began after the start proves this: a host
 * that has died may have served with a preset that no live peer knows. Once ready, the gate stays
 * ready.
 */
public interface ReadinessGate {
    /** Whether the host may take requests. */
    public val isReady: Boolean

    /** Whether a read that began after the start of this process has reached the end of the log. */
    public val isLogEndKnown: Boolean

    /** This process has read the log and found its end at [endOffset]. */
    public fun onLogEnd(endOffset: LogOffset)

    /**
     * Peer [host] has applied the configuration before [nextOffset].
     *
     * @param isLogEnd whether a read by the peer that began after the start of this process found
     * no record from [nextOffset] on
     */
    public fun onPeerOffset(host: HostId, nextOffset: LogOffset, isLogEnd: Boolean)

    /** Peer [host] did not answer in time; the gate no longer waits for it. */
    public fun onPeerSilent(host: HostId)

    /** The platform lists [hosts] as live; null while the list cannot be read. */
    public fun onListedPeers(hosts: Set<HostId>?)

    /** This host has applied the configuration before [nextOffset]. */
    public fun onAppliedOffset(nextOffset: LogOffset)

    /** Returns what the host still waits for, for logs and `/readyz`; empty when ready. */
    public fun describeMissing(): List<String>
}
