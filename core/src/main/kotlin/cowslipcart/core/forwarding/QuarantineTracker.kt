package cowslipcart.core.forwarding

import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.Fingerprint
import cowslipcart.core.model.HostId

/**
 * Counts by request fingerprint, over all hosts, the endpoints whose connection broke while they
 * ran the request. A request that broke several endpoints is quarantined (refused), since it would
 * crash the next one as well.
 *
 * Load pattern: a request that crashes every endpoint is retried by its caller through any host.
 */
internal class QuarantineTracker {
    private val endpointsByFingerprint = LinkedHashMap<Fingerprint, MutableSet<EndpointId>>()
    private val lastNoticeByHost = mutableMapOf<HostId, Long>()
    private val recent = ArrayDeque<CrashNotice>()
    private var ownNoticeCount = 0L

    /** The latest notices of this host; each report repeats them. */
    val recentNotices: List<CrashNotice> get() = recent.toList()

    fun isQuarantined(fingerprint: Fingerprint): Boolean =
        endpointsByFingerprint[fingerprint].orEmpty().size >= QUARANTINE_COUNT

    /** Counts a broken connection of this host and adds a notice to its next reports. */
    fun onOwnCrash(fingerprint: Fingerprint, endpoint: EndpointId) {
        recent += CrashNotice(++ownNoticeCount, fingerprint, endpoint)
        if (recent.size > MAX_RECENT) recent.removeFirst()
        add(fingerprint, endpoint)
    }

    /** Counts the notices of [host] that are newer than the last one taken from it. */
    fun onPeerNotices(host: HostId, notices: List<CrashNotice>) {
        val last = lastNoticeByHost[host] ?: 0
        for (notice in notices) {
            if (notice.number > last) add(notice.fingerprint, notice.endpoint)
        }
        notices.maxOfOrNull { it.number }?.let { lastNoticeByHost[host] = maxOf(last, it) }
    }

    /** [host] restarted, so its notices are numbered from 1 again. */
    fun onPeerRestarted(host: HostId) {
        lastNoticeByHost -= host
    }

    /** Clears [fingerprint]: an endpoint ran the request to its end. */
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
        /** Two crashes may be caused by another request that ran at the same endpoints. */
        const val QUARANTINE_COUNT = 3
        const val MAX_FINGERPRINTS = 2_048

        /** Notices that each report repeats, since reports may be lost. */
        const val MAX_RECENT = 12
    }
}
