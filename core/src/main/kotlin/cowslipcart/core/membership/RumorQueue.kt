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

    /**
     * Takes topics for one ping to [to] among [hostCount] hosts. News on [to] itself goes first if
     * [isDoubted] and not at all otherwise. What is sent to a doubted host does not count as sent,
     * as it is probably lost.
     */
    fun take(hostCount: Int, to: HostId, isDoubted: Boolean): List<RumorTopic> {
        val ofReceiver = RumorTopic.OfHost(to)
        val settledCount = SENDS_PER_DOUBLING * (Int.SIZE_BITS - hostCount.countLeadingZeroBits())
        val (settled, fresh) = sentCounts.keys.filter { it != ofReceiver }
            .sortedBy { sentCounts.getValue(it) }
            .partition { sentCounts.getValue(it) >= settledCount }
        val taken = (listOf(ofReceiver).filter { isDoubted } + fresh + settled.take(MAX_SETTLED))
            .take(MembershipView.MAX_RUMORS)
        if (!isDoubted) {
            taken.forEach { topic ->
                sentCounts.computeIfPresent(topic) { _, count ->
                    count +
                        1
                }
            }
        }
        return taken
    }

    private companion object {
        /** Sends of one rumor by one host for each doubling of the number of hosts. */
        const val SENDS_PER_DOUBLING = 3
        const val MAX_SETTLED = 2
    }
}
