package cowslipcart.core.intake

/** A request in an [IntakeBudget]. */
internal class Hold(val id: HoldId, val client: ClientAddress, var dueAtMs: Long) {
    var bytes = 0L

    /** Bytes that it asks for. */
    var wantedBytes = 0L
    var waitingSinceMs: Long? = null

    /** Whether it counts as a large one. */
    var isLarge = false

    /** Whether it was read whole. */
    var isComplete = false

    /** Whether it has to give up its bytes. */
    var isRefused = false

    val isWaiting: Boolean get() = waitingSinceMs != null

    /** Whether its caller has to send more bytes, and not this host to make room for them. */
    val isReceiving: Boolean get() = !isComplete && !isRefused && !isWaiting
}

/**
 * Chooses which of [holds] yields to a request that waits for room. A large request takes room from
 * small ones only if they are stalled, or their client holds more than its share.
 */
internal class VictimChoice(
    private val limits: IntakeLimits,
    private val holds: Collection<Hold>,
    private val clientBytes: (ClientAddress) -> Long
) {
    class Victim(val hold: Hold, val reason: RefusedIntake)

    /**
     * Returns the next one to yield to [waiter], or null if it has to wait. In this order: the
     * slowest of those that are stalled; the newest of a client that holds more than its share; a
     * large one, for a small waiter; see [lastResort], once all that are not read whole wait for
     * room or [waiter] has waited long enough.
     *
     * @param isLarge whether [waiter] is large with what it asks for
     * @param isLargeShort whether it lacks room that only large requests can give
     */
    fun choose(waiter: Hold, isLarge: Boolean, isLargeShort: Boolean, nowMs: Long): Victim? {
        val yielding = holds.filter {
            it !== waiter && !it.isComplete && !it.isRefused && it.bytes > 0 &&
                (it.isLarge || !isLargeShort)
        }
        stalled(yielding, nowMs)?.let { return Victim(it, RefusedIntake.STALLED) }
        overShare(yielding, waiter)?.let { return Victim(it, RefusedIntake.CLIENT_SHARE) }
        val others = yielding.filter { it.isLarge || !isLarge }
        if (!isLarge) newestLarge(others)?.let { return Victim(it, RefusedIntake.NO_ROOM) }
        val waitedMs = nowMs - (waiter.waitingSinceMs ?: nowMs)
        if (waitedMs < limits.maxWaitMs && !isStuck(others, waiter, isLargeShort)) return null
        return Victim(lastResort(others, waiter, isLarge), RefusedIntake.NO_ROOM)
    }

    /** Among small requests the largest one, so that ordinary requests are the last to yield. */
    private fun lastResort(others: List<Hold>, waiter: Hold, isLarge: Boolean): Hold {
        if (isLarge) return newestLarge(others) ?: waiter
        return (others + waiter).asReversed().maxBy { it.bytes + it.wantedBytes }
    }

    /** Returns the newest of the client that holds most, so that the oldest get to their end. */
    private fun newestLarge(others: List<Hold>): Hold? {
        val large = others.filter { it.isLarge }
        val mostBytes = large.maxOfOrNull { clientBytes(it.client) } ?: return null
        return large.last { clientBytes(it.client) == mostBytes }
    }

    private fun stalled(others: List<Hold>, nowMs: Long): Hold? =
        others.filter { it.isReceiving && nowMs > it.dueAtMs }.minByOrNull { it.dueAtMs }

    private fun overShare(others: List<Hold>, waiter: Hold): Hold? {
        if (clientBytes(waiter.client) + waiter.wantedBytes > limits.clientBytes) return null
        return others.lastOrNull { clientBytes(it.client) > limits.clientBytes }
    }

    /**
     * Whether nothing can end by itself: all that are being read wait for each other, and no other
     * one has the bytes that [waiter] lacks.
     */
    private fun isStuck(others: List<Hold>, waiter: Hold, isLargeShort: Boolean): Boolean =
        others.isNotEmpty() && others.all { it.isWaiting } && holds.none {
            (it.isComplete || it.isRefused) && it.bytes >= waiter.wantedBytes &&
                (it.isLarge || !isLargeShort)
        }
}
