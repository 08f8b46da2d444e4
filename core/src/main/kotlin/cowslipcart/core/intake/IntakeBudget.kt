package cowslipcart.core.intake

/**
 * Shares out the memory for requests of callers. A request asks for each buffer before it is
 * allocated; what waits for room stays in the kernel, which slows its caller down.
 *
 * If the buffers that are asked for don't fit, requests that are still being read have to yield,
 * see [VictimChoice]. Requests that were read whole are never refused. Bytes of a refused request
 * count until they are released, so the sum never exceeds the limit. Not safe for concurrent use.
 */
public class IntakeBudget(private val limits: IntakeLimits) {
    /** All requests, oldest first. */
    private val holds = LinkedHashMap<HoldId, Hold>()
    private val bytesByClient = HashMap<ClientAddress, Long>()
    private val victims = VictimChoice(limits, holds.values) { clientBytes(it) }
    private var lastId = 0L
    private var waitingCount = 0
    private var largeBytes = 0L
    private var settledAtMs = Long.MIN_VALUE

    /** Bytes that all requests hold. */
    public var heldBytes: Long = 0
        private set

    /** Number of requests that were begun and not released. */
    public val requestCount: Int get() = holds.size

    /** Begins a request of [client], without any bytes. */
    public fun open(client: ClientAddress, nowMs: Long): HoldId {
        val id = HoldId(++lastId)
        holds[id] = Hold(id, client, nowMs + limits.stallGraceMs)
        return id
    }

    /**
     * Asks for [bytes] more for the request [id], which must not wait already. The request waits if
     * the result has no decision about it.
     */
    public fun request(id: HoldId, bytes: Long, nowMs: Long): List<IntakeDecision> {
        val hold = checkNotNull(holds[id]) { "expected an open request, found none for $id" }
        if (hold.isRefused) return emptyList()
        hold.wantedBytes = bytes
        if (waitingCount == 0 && shortageBytes(hold) <= 0) {
            grant(hold)
            return listOf(IntakeDecision.Granted(id))
        }
        hold.waitingSinceMs = nowMs
        waitingCount++
        return settle(nowMs)
    }

    /** Reserves [bytes] more for the request [id] if they fit at once and nobody waits. */
    public fun tryReserve(id: HoldId, bytes: Long): Boolean {
        val hold = holds[id] ?: return false
        if (waitingCount > 0 || hold.isRefused) return false
        hold.wantedBytes = bytes
        val fits = shortageBytes(hold) <= 0
        if (fits) grant(hold) else hold.wantedBytes = 0
        return fits
    }

    /** Notes that [bytes] of the request [id] have arrived. */
    public fun received(id: HoldId, bytes: Int, nowMs: Long) {
        val hold = holds[id] ?: return
        val earnedMs = bytes * MS_PER_S / limits.minBytesPerS
        hold.dueAtMs = minOf(nowMs + limits.stallGraceMs, maxOf(hold.dueAtMs, nowMs) + earnedMs)
    }

    /**
     * Notes that the request [id] was read whole. Returns false if it was refused before; otherwise
     * it is not refused any more.
     */
    public fun complete(id: HoldId): Boolean {
        val hold = holds[id] ?: return false
        if (!hold.isRefused) hold.isComplete = true
        return hold.isComplete
    }

    /** Gives [bytes] of the request [id] back. */
    public fun reduce(id: HoldId, bytes: Long, nowMs: Long): List<IntakeDecision> {
        val hold = holds[id] ?: return emptyList()
        addBytes(hold, -minOf(bytes, hold.bytes))
        return settle(nowMs)
    }

    /** Ends the request [id] and gives all of its bytes back. */
    public fun release(id: HoldId, nowMs: Long): List<IntakeDecision> {
        val hold = holds.remove(id) ?: return emptyList()
        stopWaiting(hold)
        addBytes(hold, -hold.bytes)
        return settle(nowMs)
    }

    /** Decides again about requests that wait, since time has passed. */
    public fun recheck(nowMs: Long): List<IntakeDecision> {
        if (nowMs < settledAtMs + RECHECK_MS) return emptyList()
        return settle(nowMs)
    }

    private fun settle(nowMs: Long): List<IntakeDecision> {
        if (waitingCount == 0) return emptyList()
        settledAtMs = nowMs
        val decisions = mutableListOf<IntakeDecision>()
        grantWaiting(nowMs, decisions) { isWithinShare(it) }
        if (holds.values.none { it.isWaiting && isWithinShare(it) }) {
            grantWaiting(nowMs, decisions) { true }
        }
        for (isSmall in listOf(true, false)) {
            val first = holds.values
                .firstOrNull { it.isWaiting && isSmall == !isLargeThen(it) } ?: continue
            makeRoom(first, nowMs, decisions)
        }
        return decisions
    }

    private inline fun grantWaiting(
        nowMs: Long,
        decisions: MutableList<IntakeDecision>,
        filter: (Hold) -> Boolean
    ) {
        for (hold in holds.values) {
            if (!hold.isWaiting || !filter(hold) || shortageBytes(hold) > 0) continue
            grant(hold)
            hold.dueAtMs = nowMs + limits.stallGraceMs
            decisions += IntakeDecision.Granted(hold.id)
        }
    }

    /** Refuses as many requests as [waiter] needs, as far as they have to yield to it. */
    private fun makeRoom(waiter: Hold, nowMs: Long, decisions: MutableList<IntakeDecision>) {
        val isLarge = isLargeThen(waiter)
        while (waiter.isWaiting) {
            // Refused requests give their bytes back soon.
            val isLargeShort = largeShortageBytes(waiter) > yieldingBytes { it.isLarge }
            if (!isLargeShort && shortageOfAllBytes(waiter) <= yieldingBytes { true }) return
            val victim = victims.choose(waiter, isLarge, isLargeShort, nowMs) ?: return
            stopWaiting(victim.hold)
            victim.hold.isRefused = true
            decisions += IntakeDecision.Refused(victim.hold.id, victim.reason)
        }
    }

    private inline fun yieldingBytes(filter: (Hold) -> Boolean): Long =
        holds.values.sumOf { if (it.isRefused && filter(it)) it.bytes else 0L }

    /** Returns by how much what [hold] asks for exceeds the room; 0 or less if it fits. */
    private fun shortageBytes(hold: Hold): Long =
        maxOf(shortageOfAllBytes(hold), largeShortageBytes(hold))

    private fun shortageOfAllBytes(hold: Hold): Long =
        heldBytes + hold.wantedBytes - limits.requestBytes

    private fun largeShortageBytes(hold: Hold): Long {
        if (!isLargeThen(hold)) return 0
        val addedBytes = if (hold.isLarge) hold.wantedBytes else hold.bytes + hold.wantedBytes
        return largeBytes + addedBytes - limits.largeRequestBytes
    }

    /** Whether [hold] is large with the bytes that it asks for. */
    private fun isLargeThen(hold: Hold): Boolean = hold.bytes + hold.wantedBytes > limits.smallBytes

    private fun isWithinShare(hold: Hold): Boolean =
        clientBytes(hold.client) + hold.wantedBytes <= limits.clientBytes

    private fun clientBytes(client: ClientAddress): Long = bytesByClient[client] ?: 0

    private fun grant(hold: Hold) {
        stopWaiting(hold)
        addBytes(hold, hold.wantedBytes)
        hold.wantedBytes = 0
    }

    private fun stopWaiting(hold: Hold) {
        if (hold.isWaiting) waitingCount--
        hold.waitingSinceMs = null
    }

    private fun addBytes(hold: Hold, bytes: Long) {
        if (hold.isLarge) largeBytes -= hold.bytes
        hold.bytes += bytes
        hold.isLarge = hold.bytes > limits.smallBytes
        if (hold.isLarge) largeBytes += hold.bytes
        heldBytes += bytes
        val clientBytes = clientBytes(hold.client) + bytes
        if (clientBytes == 0L) {
            bytesByClient.remove(hold.client)
        } else {
            bytesByClient[hold.client] = clientBytes
        }
    }

    private companion object {
        const val MS_PER_S = 1_000L

        /** Bounds the work of many requests that wait at once, in ms. */
        const val RECHECK_MS = 20L
    }
}
