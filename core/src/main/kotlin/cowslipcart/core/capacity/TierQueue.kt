package cowslipcart.core.capacity

import cowslipcart.core.model.OrganisationId
import cowslipcart.core.model.Tier
import java.util.TreeSet
import kotlin.math.max

/**
 * Queue of one tier: start-time fair queueing between organisations, earliest deadline within one.
 *
 * The head of each backlogged organisation has a start tag; the lowest tag is served next. Serving
 * moves the organisation's tag by the tokens of the request divided by the organisation's weight.
 * Requests that missed the time for their first token come after those of the same organisation
 * that can still meet it; otherwise, under overload, every request would be served late.
 *
 * Interrupted streams are kept apart and resume before new requests start: they are paid for, can
 * run on one endpoint only, and their prompts would have to be read again. Suspects are kept apart, because they wait for an endpoint to become empty and must not hold up
 * their organisation.
 */
internal class TierQueue(val tier: Tier) {
    private val flows = HashMap<OrganisationId, Flow>()
    private val backlogged = TreeSet(FLOW_ORDER)
    private val suspectQueue = TreeSet(QueuedWork.DEADLINE_ORDER)
    private val parked = LinkedHashSet<QueuedWork>()
    private val interrupted = TreeSet(QueuedWork.DEADLINE_ORDER)
    private var virtualTime = 0.0
    private var flowCount = 0L

    /** Number of queued requests, suspects included. */
    var size: Int = 0
        private set

    val suspectCount: Int get() = suspectQueue.size
    val hasNormal: Boolean get() = size > suspectQueue.size
    val firstSuspect: QueuedWork? get() = if (suspectQueue.isEmpty()) null else suspectQueue.first()

    /** Adds a new request. */
    fun add(work: QueuedWork) {
        size++
        if (work.request.isSuspect) {
            suspectQueue += work
            return
        }
        if (work.request.resumeOn != null) {
            interrupted += work
            return
        }
        val flow = flowOf(work)
        if (flow.isEmpty) flow.startTag = max(flow.startTag, virtualTime)
        enqueue(flow, work)
    }

    /** Puts back a request taken by [poll]; its organisation keeps its place. */
    fun putBack(work: QueuedWork) {
        size++
        enqueue(flowOf(work), work)
    }

    /** Sets a request taken by [poll] aside until [wake] finds a reason to choose anew. */
    fun park(work: QueuedWork, endpoint: EndpointState, untilMs: Long) {
        size++
        work.parkedOn = endpoint
        work.parkedUntilMs = untilMs
        parked += work
    }

    /** Puts back parked requests whose endpoint can take them or is gone, or whose time is over. */
    fun wake(nowMs: Long) {
        if (parked.isEmpty()) return
        val iterator = parked.iterator()
        while (iterator.hasNext()) {
            val work = iterator.next()
            if (!work.hasReasonToWake(nowMs)) continue
            iterator.remove()
            work.parkedOn = null
            enqueue(flowOf(work), work)
        }
    }

    /** Removes a queued request; it must be in the queue. */
    fun remove(work: QueuedWork) {
        size--
        work.parkedOn = null
        if (suspectQueue.remove(work) || parked.remove(work) || interrupted.remove(work)) return
        val flow = flowOf(work)
        backlogged -= flow
        flow.remove(work)
        if (!flow.isEmpty) backlogged += flow
    }

    /**
     * Takes the next request that is not kept apart, or null.
     *
     * @param hasLower whether less urgent work exists; a late request that has to start soon to
     * meet its deadline then goes first in its organisation, so that it is not lost to that work
     */
    fun poll(nowMs: Long, hasLower: Boolean): QueuedWork? {
        if (backlogged.isEmpty()) return null
        val flow = backlogged.pollFirst()
        val work = flow.poll(nowMs, hasLower)
        size--
        if (!flow.isEmpty) backlogged += flow
        return work
    }

    /** Charges the organisation of a request that was taken by [poll] and starts. */
    fun charge(work: QueuedWork, weight: Double) {
        if (work.isCharged) return
        val flow = flowOf(work)
        if (!flow.isEmpty) backlogged -= flow
        virtualTime = max(virtualTime, flow.startTag)
        flow.startTag += work.reservedTokens / weight
        if (!flow.isEmpty) backlogged += flow
        if (flows.size > MOST_IDLE_FLOWS + backlogged.size) forgetIdleFlows()
    }

    /**
     * Returns the request to shed: the last one of the organisation with the most queued requests.
     * Streams that wait to resume are shed only if there is nothing else, as their callers have
     * part of the answer.
     */
    fun findShedVictim(): QueuedWork? = backlogged.maxByOrNull { it.size }?.last()
        ?: parked.lastOrNull()
        ?: suspectQueue.lastOrNull()
        ?: interrupted.lastOrNull()

    /** Interrupted streams, earliest deadline first. */
    fun interrupted(): List<QueuedWork> = interrupted.toList()

    /** Requests that are kept apart, suspects excluded. */
    fun setAside(): List<QueuedWork> = interrupted.toList() + parked

    private fun flowOf(work: QueuedWork): Flow =
        flows.getOrPut(work.request.organisation) { Flow(flowCount++) }

    private fun QueuedWork.hasReasonToWake(nowMs: Long): Boolean {
        val endpoint = parkedOn ?: return true
        return nowMs >= parkedUntilMs || !endpoint.isAvailable ||
            endpoint.admits(isTop, reservedTokens, nowMs)
    }

    private fun enqueue(flow: Flow, work: QueuedWork) {
        if (!flow.isEmpty) backlogged -= flow
        flow.add(work)
        backlogged += flow
    }

    // The tag of an organisation that the virtual time has passed equals that of a new one.
    private fun forgetIdleFlows() {
        flows.values.removeIf { it.isEmpty && it.startTag <= virtualTime }
    }

    private class Flow(val number: Long) {
        private val inTime = TreeSet(QueuedWork.DEADLINE_ORDER)
        private val late = TreeSet(QueuedWork.DEADLINE_ORDER)

        var startTag: Double = 0.0
        val size: Int get() = inTime.size + late.size
        val headDeadlineMs: Long
            get() = (if (inTime.isEmpty()) late.first() else inTime.first()).deadlineMs
        val isEmpty: Boolean get() = inTime.isEmpty() && late.isEmpty()

        fun add(work: QueuedWork) {
            if (work.isLate) late += work else inTime += work
        }

        fun remove(work: QueuedWork) {
            if (work.isLate) late -= work else inTime -= work
        }

        fun poll(nowMs: Long, hasLower: Boolean): QueuedWork {
            if (hasLower && late.isNotEmpty()) {
                val first = late.first()
                if (first.nextCheckMs - nowMs < START_SOON_MS) return late.pollFirst()
            }
            while (inTime.isNotEmpty()) {
                val work = inTime.pollFirst()
                if (work.firstTokenDueMs > nowMs) return work
                work.isLate = true
                late += work
            }
            return late.pollFirst()
        }

        fun last(): QueuedWork = if (late.isEmpty()) inTime.last() else late.last()
    }

    private companion object {
        const val MOST_IDLE_FLOWS = 1_024

        // Time in which a slot and the reading of other prompts can be awaited. At 8 s, tier 1 lost
        // requests to their deadlines behind others of its tier at 1.5 times capacity; from 24 s on
        // late requests take the slots of those in time.
        const val START_SOON_MS = 16_000L

        val FLOW_ORDER: Comparator<Flow> = Comparator { left, right ->
            var order = left.startTag.compareTo(right.startTag)
            if (order == 0) order = left.headDeadlineMs.compareTo(right.headDeadlineMs)
            if (order == 0) left.number.compareTo(right.number) else order
        }
    }
}
