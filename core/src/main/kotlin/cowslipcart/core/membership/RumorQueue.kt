package cowslipcart.core.membership

import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.HostId

/** What a rumor is about; its content is read when it is sent. */
internal sealed interface RumorTopic {
    data class OfHost(val host: HostId) : RumorTopic

    data class OfEndpoint(val endpoint: EndpointId) : RumorTopic
}

/**
 * Chooses the rumors of each ping: the least-sent first. A rumor that was sent often enough to have
 * reached all hosts is settled; a few settled rumors still go into each ping, so that a host that
 * missed one by message loss learns it later.
 */
internal class RumorQueue {
    private val sentCounts = linkedMapOf<RumorTopic, Int>()

    /** Puts news on [topic] in front of all that was sent before. */
    fun refresh(topic: RumorTopic) {
        sentCounts -= topic
        sentCounts[topic] = 0
    }

    fun remove(topic: RumorTopic) {
        sentCounts -= topic
    }

    /** Takes topics for one ping among [hostCount] hosts, [first] before all others. */
    fun take(hostCount: Int, first: RumorTopic?): List<RumorTopic> {
        val settledCount = SENDS_PER_DOUBLING * (Int.SIZE_BITS - hostCount.countLeadingZeroBits())
        val (settled, fresh) = sentCounts.keys.filter { it != first }
            .sortedBy { sentCounts.getValue(it) }
            .partition { sentCounts.getValue(it) >= settledCount }
        val taken = (listOfNotNull(first) + fresh + settled.take(MAX_SETTLED))
            .take(MembershipView.MAX_RUMORS)
        taken.forEach { topic -> sentCounts.computeIfPresent(topic) { _, count -> count + 1 } }
        return taken
    }

    private companion object {
        /** Sends of one rumor by one host for each doubling of the number of hosts. */
        const val SENDS_PER_DOUBLING = 3
        const val MAX_SETTLED = 2
    }
}
