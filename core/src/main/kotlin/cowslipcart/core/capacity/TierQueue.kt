package cowslipcart.core.capacity

import cowslipcart.core.model.OrganisationId
import cowslipcart.core.model.Tier
import java.util.TreeSet
import kotlin.math.max

/**
 * Queue of one tier: start-time fair queueing between organisations, earliest deadline first within
 * an organisation.
 *
 * Each organisation is a flow with a start tag; the backlogged flow with the lowest tag is served
 * next. Serving a request advances the tag by its tokens divided by the weight of the organisation.
 * Requests that missed their first-token target come after those of the same organisation that can
 * still meet it; otherwise every request would be served late under overload.
 *
 * Preempted streams are kept outside the flows and resume before new requests start: they are
 * already charged, can run on one endpoint only, and any other start would repeat their prefill.
 * Suspects are kept outside the flows too, because they wait for an endpoint to become empty and
 * must not block their organisation.
 */
internal class TierQueue(val tier: Tier) {
    private val flows = HashMap<OrganisationId, Flow>()
    private val backlogged = TreeSet(FLOW_ORDER)
    private val suspectQueue = TreeSet(QueuedWork.DEADLINE_ORDER)
    private val parked = LinkedHashSet<QueuedWork>()
    private val resuming = TreeSet(QueuedWork.DEADLINE_ORDER)
    private var virtualTime = 0.0
    private var flowCount = 0L

    /** Number of queued requests, suspects included. */
    var size: Int = 0
        private set

    val suspectCount: Int get() = suspectQueue.size

    /** Whether other requests than suspects are queued. */
    val hasNonSuspects: Boolean get() = size > suspectQueue.size
    val firstSuspect: QueuedWork? get() = if (suspectQueue.isEmpty()) null else suspectQueue.first()

    /** Adds a request that arrived or was preempted. */
    fun add(work: QueuedWork) {
        size++
        if (work.request.isSuspect) {
            suspectQueue += work
            return
        }
        if (work.request.resumeOn != null) {
            resuming += work
            return
        }
        val flow = flowOf(work)
        if (flow.isEmpty) flow.startTag = max(flow.startTag, virtualTime)
        enqueue(flow, work)
    }

    /** Puts back a request taken by [poll]; its organisation keeps its start tag. */
    fun putBack(work: QueuedWork) {
        size++
        enqueue(flowOf(work), work)
    }

    /**
     * Parks a request taken by [poll], which waits for [endpoint] although another is free, so that
     * it is not placed again before [unpark] puts it back.
     */
    fun park(work: QueuedWork, endpoint: EndpointState, untilMs: Long) {
        size++
        work.parkedOn = endpoint
        work.parkedUntilMs = untilMs
        parked += work
    }

    /**
     * Puts back parked requests whose endpoint can start them or is unavailable, or whose time is
     * up.
     */
    fun unpark(nowMs: Long) {
        if (parked.isEmpty()) return
        val iterator = parked.iterator()
        while (iterator.hasNext()) {
            val work = iterator.next()
            if (!work.mustUnpark(nowMs)) continue
            iterator.remove()
            work.parkedOn = null
            enqueue(flowOf(work), work)
        }
    }

    /** Removes a queued request; it must be in the queue. */
    fun remove(work: QueuedWork) {
        size--
        work.parkedOn = null
        if (suspectQueue.remove(work) || parked.remove(work) || resuming.remove(work)) return
        val flow = flowOf(work)
        backlogged -= flow
        flow.remove(work)
        if (!flow.isEmpty) backlogged += flow
    }

    /**
     * Takes the next request of the flows, or null.
     *
     * @param hasLower whether work of lower tiers exists; a late request that has to start soon to
     * meet its deadline then goes first in its organisation, so that it does not lose its slot to
     * that work
     */
    fun poll(nowMs: Long, hasLower: Boolean): QueuedWork? {
        if (backlogged.isEmpty()) return null
        val flow = backlogged.pollFirst()
        val work = flow.poll(nowMs, hasLower)
        size--
        if (!flow.isEmpty) backlogged += flow
        return work
    }

    /** Charges the organisation for a request that was taken by [poll] and starts. */
    fun charge(work: QueuedWork, weight: Double) {
        if (work.isCharged) return
        val flow = flowOf(work)
        if (!flow.isEmpty) backlogged -= flow
        virtualTime = max(virtualTime, flow.startTag)
        flow.startTag += work.reservedTokens / weight
        if (!flow.isEmpty) backlogged += flow
        if (flows.size > MAX_IDLE_FLOWS + backlogged.size) forgetIdleFlows()
    }

    /**
     * Returns the request to shed: the last one of the organisation with the most queued requests.
     * Streams that wait to resume are shed only if nothing else is queued, as their callers already
     * have part of the answer.
     */
    fun findShedVictim(): QueuedWork? = backlogged.maxByOrNull { it.size }?.last()
        ?: parked.lastOrNull()
        ?: suspectQueue.lastOrNull()
        ?: resuming.lastOrNull()

    /** Preempted streams that wait to resume, earliest deadline first. */
    fun resuming(): List<QueuedWork> = resuming.toList()

    /** All requests outside the flows except suspects. */
    fun parkedOrResuming(): List<QueuedWork> = resuming.toList() + parked

    private fun flowOf(work: QueuedWork): Flow =
        flows.getOrPut(work.request.organisation) { Flow(flowCount++) }

    private fun QueuedWork.mustUnpark(nowMs: Long): Boolean {
        val endpoint = parkedOn ?: return true
        return nowMs >= parkedUntilMs || !endpoint.isAvailable ||
            endpoint.admits(isTop, reservedTokens, nowMs)
    }

    private fun enqueue(flow: Flow, work: QueuedWork) {
        if (!flow.isEmpty) backlogged -= flow
        flow.add(work)
        backlogged += flow
    }

    // An idle flow whose tag the virtual time has passed is equivalent to a new flow.
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
        const val MAX_IDLE_FLOWS = 1_024

        // A late request has to start soon if its deadline leaves less slack than this, the time to
        // wait for a slot and for the prefill of other prompts. With 8 s, tier 1 lost requests to
        // their deadlines behind others of its tier at 1.5 times capacity; from 24 s on, late
        // requests take the slots of those in time.
        const val START_SOON_MS = 16_000L

        val FLOW_ORDER: Comparator<Flow> = Comparator { left, right ->
            var order = left.startTag.compareTo(right.startTag)
            if (order == 0) order = left.headDeadlineMs.compareTo(right.headDeadlineMs)
            if (order == 0) left.number.compareTo(right.number) else order
        }
    }
}
