package cowslipcart.core.forwarding

import cowslipcart.core.membership.stableHash
import cowslipcart.core.model.Fingerprint
import cowslipcart.core.model.HostId

/**
 * Divides the time in which a quarantine may be tested among the hosts, so that they don't test it
 * at the same time: every slot belongs to one host, by rendezvous hashing, and is open only at its
 * beginning. By the end of the slot the others know what came of the test. Hosts that know
 * different hosts agree on most slots, and those that learned of a crash at different times on most
 * of each slot.
 *
 * Load pattern: a request that crashes endpoints comes to every host several times a second.
 *
 * @property others the other hosts that may test a quarantine
 */
internal class ProbeSlots(private val self: HostId, private val others: () -> Set<HostId>) {
    /** Whether this host may test the quarantine of [fingerprint], [sinceMs] after its lapse. */
    fun isOpen(fingerprint: Fingerprint, sinceMs: Long): Boolean {
        if (sinceMs < 0) return false
        val competing = others()
        if (competing.isEmpty()) return true
        if (sinceMs % SLOT_MS >= OPEN_MS) return false
        val slot = sinceMs / SLOT_MS
        val ownScore = score(self, fingerprint, slot)
        return competing.none { score(it, fingerprint, slot) > ownScore }
    }

    private fun score(host: HostId, fingerprint: Fingerprint, slot: Long): Long =
        stableHash("$host $fingerprint $slot")

    private companion object {
        /** Time for a test, its crash and the news of it, 1.4 s by a relay, in ms. */
        const val SLOT_MS = 3_500L
        const val OPEN_MS = 1_500L
    }
}
