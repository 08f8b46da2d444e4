package cowslipcart.core.forwarding

import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.Fingerprint
import cowslipcart.core.model.HostId

/**
 * Counts the endpoints whose connection broke while they had a request, by its fingerprint, over
 * all hosts. A request that broke several is refused, since it would crash the next one as well.
 *
 * Load pattern: a request that crashes each endpoint is sent again by its caller to any host.
 */
internal class CrashSuspicion {
    private val endpointsByFingerprint = LinkedHashMap<Fingerprint, MutableSet<EndpointId>>()
    private val lastNumberByHost = mutableMapOf<HostId, Long>()
    private val recent = ArrayDeque<CrashNotice>()
    private var ownCount = 0L

    /** Notices of this host that the others may not have received yet. */
    val recentNotices: List<CrashNotice> get() = recent.toList()

    fun isQuarantined(fingerprint: Fingerprint): Boolean =
        endpointsByFingerprint[fingerprint].orEmpty().size >= QUARANTINE_COUNT

    /** Counts a break at this host and returns the notice for the others. */
    fun onOwnBreak(fingerprint: Fingerprint, endpoint: EndpointId) {
        recent += CrashNotice(++ownCount, fingerprint, endpoint)
        if (recent.size > MAX_RECENT) recent.removeFirst()
        add(fingerprint, endpoint)
    }

    fun onPeerNotices(host: HostId, notices: List<CrashNotice>) {
        val last = lastNumberByHost[host] ?: 0
        for (notice in notices) {
            if (notice.number > last) add(notice.fingerprint, notice.endpoint)
        }
        notices.maxOfOrNull { it.number }?.let { lastNumberByHost[host] = maxOf(last, it) }
    }

    fun onPeerRestarted(host: HostId) {
        lastNumberByHost -= host
    }

    /** The request ran to its end, so it does not crash endpoints. */
    fun onAnswered(fingerprint: Fingerprint) {
        endpointsByFingerprint -= fingerprint
    }

    private fun add(fingerprint: Fingerprint, endpoint: EndpointId) {
        endpointsByFingerprint.getOrPut(fingerprint) { mutableSetOf() } += endpoint
        if (endpointsByFingerprint.size > MAX_FINGERPRINTS) {
            endpointsByFingerprint -= endpointsByFingerprint.keys.first()
        }
    }

    private companion object {
        /** Two may be bad luck beside another request that crashes endpoints. */
        const val QUARANTINE_COUNT = 3
        const val MAX_FINGERPRINTS = 2_048

        /** Notices that each report repeats, since reports may be lost. */
        const val MAX_RECENT = 12
    }
}
