package cowslipcart.core.membership

import cowslipcart.core.model.EndpointId

/** Notices of leaving endpoints with the time that they were given. */
internal class EndpointNotices {
    private val givenAtMs = sortedMapOf<EndpointId, Long>()

    val endpoints: Set<EndpointId> get() = givenAtMs.keys

    /** Takes a notice of age [ageMs]; returns whether it is news that other hosts should get. */
    fun merge(endpoint: EndpointId, ageMs: Long, nowMs: Long): Boolean {
        if (ageMs >= MembershipView.ENDPOINT_NOTICE_LIFETIME_MS) return false
        val newAtMs = nowMs - ageMs
        val oldAtMs = givenAtMs[endpoint]
        val isNews = oldAtMs == null || newAtMs - oldAtMs >= RENEWAL_MS
        if (isNews) givenAtMs[endpoint] = newAtMs
        return isNews
    }

    fun rumor(endpoint: EndpointId, nowMs: Long): Rumor? =
        givenAtMs[endpoint]?.let { Rumor.EndpointLeaving(endpoint, nowMs - it) }

    /** Drops lapsed notices and returns them. */
    fun removeLapsed(nowMs: Long): List<EndpointId> {
        val lapsed = givenAtMs.filterValues {
            nowMs - it >= MembershipView.ENDPOINT_NOTICE_LIFETIME_MS
        }.keys.toList()
        givenAtMs -= lapsed.toSet()
        return lapsed
    }

    private companion object {
        /** A notice is spread again when it is this much younger, a sixth of its lifetime. */
        const val RENEWAL_MS = 10_000L
    }
}
