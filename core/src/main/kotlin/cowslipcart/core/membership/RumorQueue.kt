package cowslipcart.core.membership

import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.HostId

/** Subject of a rumor; the content is looked up when the rumor is sent. */
internal sealed interface RumorTopic {
    data class OfHost(val host: HostId) : RumorTopic

    data class OfEndpoint(val endpoint: EndpointId) : RumorTopic
}

/**
 * Chooses the rumors of each ping: the least-sent first. A rumor counts as disseminated once it was
 * sent often enough to have reached all hosts; a few of those still go into each ping, so that a
 * host that missed one by message loss gets it later.
 */
internal class RumorQueue {
    private val sentCounts = linkedMapOf<RumorTopic, Int>()

    /** Puts [topic], whose content has changed, in front of all topics that were sent before. */
    fun refresh(topic: RumorTopic) {
        sentCounts -= topic
        sentCounts[topic] = 0
    }

    fun remove(topic: RumorTopic) {
        sentCounts -= topic
    }

    /**
     * Returns the topics for one ping to [to] among [hostCount] hosts and counts them as sent. With
     * [isSuspectOrDead], which is about [to], the rumor about [to] goes first, and nothing counts
     * as sent, as the ping is probably lost. Otherwise [to] gets no rumor about itself.
     */
    fun take(hostCount: Int, to: HostId, isSuspectOrDead: Boolean): List<RumorTopic> {
        val ofReceiver = RumorTopic.OfHost(to)
        val disseminatedAfter =
            SENDS_PER_DOUBLING * (Int.SIZE_BITS - hostCount.countLeadingZeroBits())
        val (disseminated, pending) = sentCounts.keys.filter { it != ofReceiver }
            .sortedBy { sentCounts.getValue(it) }
            .partition { sentCounts.getValue(it) >= disseminatedAfter }
        val taken = (
            listOf(ofReceiver).filter { isSuspectOrDead } + pending +
                disseminated.take(MAX_DISSEMINATED)
            ).take(MembershipView.MAX_RUMORS)
        if (!isSuspectOrDead) {
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
        /** Times that one host sends one rumor, per doubling of the number of hosts. */
        const val SENDS_PER_DOUBLING = 3

        /** Disseminated rumors in one ping. */
        const val MAX_DISSEMINATED = 2
    }
}
