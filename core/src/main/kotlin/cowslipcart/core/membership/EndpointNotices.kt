package cowslipcart.core.membership

import cowslipcart.core.model.EndpointId

/** Notices of leaving endpoints, each with the time at which the endpoint gave it. */
internal class EndpointNotices {
    private val noticeTimesMs = sortedMapOf<EndpointId, Long>()

    val endpoints: Set<EndpointId> get() = noticeTimesMs.keys

    /** Adds a notice of age [ageMs] and returns whether it is new enough to be spread. */
    fun merge(endpoint: EndpointId, ageMs: Long, nowMs: Long): Boolean {
        if (ageMs >= MembershipView.ENDPOINT_NOTICE_LIFETIME_MS) return false
        val newTimeMs = nowMs - ageMs
        val knownTimeMs = noticeTimesMs[endpoint]
        val isNew = knownTimeMs == null || newTimeMs - knownTimeMs >= MIN_RENEWAL_MS
        if (isNew) noticeTimesMs[endpoint] = newTimeMs
        return isNew
    }

    /** Returns the rumor to send about [endpoint], or null if there is no notice. */
    fun rumor(endpoint: EndpointId, nowMs: Long): Rumor? =
        noticeTimesMs[endpoint]?.let { Rumor.EndpointLeaving(endpoint, nowMs - it) }

    /** Removes the expired notices and returns their endpoints. */
    fun removeExpired(nowMs: Long): List<EndpointId> {
        val expired = noticeTimesMs.filterValues {
            nowMs - it >= MembershipView.ENDPOINT_NOTICE_LIFETIME_MS
        }.keys.toList()
        noticeTimesMs -= expired.toSet()
        return expired
    }

    private companion object {
        /**
         * A repeated notice is spread only if it is at least this much newer than the known one; a
         * sixth of the lifetime.
         */
        const val MIN_RENEWAL_MS = 10_000L
    }
}
