package cowslipcart.experiment.sim

import java.util.PriorityQueue

/**
 * Actions in virtual time. Actions of the same millisecond run in the order in which they were
 * added, so that a run does not depend on the layout of the heap.
 */
public class EventQueue {
    private val entries = PriorityQueue<Entry>()
    private var nextSequence = 0L

    /** Virtual time in milliseconds; never decreases. */
    public var nowMs: Long = 0
        private set

    /** Adds [action] to run at [atMs], which must not be in the past. */
    public fun schedule(atMs: Long, action: () -> Unit) {
        require(atMs >= nowMs) { "expected a time from $nowMs ms on, got $atMs ms" }
        entries += Entry(atMs, nextSequence++, action)
    }

    /** Adds [action] to run [delayMs] from now. */
    public fun scheduleIn(delayMs: Long, action: () -> Unit): Unit =
        schedule(nowMs + delayMs, action)

    /** Runs all actions, including those added meanwhile, while [isRunning] returns true. */
    public fun run(isRunning: () -> Boolean) {
        while (isRunning()) {
            val entry = entries.poll() ?: return
            nowMs = entry.atMs
            entry.action()
        }
    }

    private class Entry(val atMs: Long, val sequence: Long, val action: () -> Unit) :
        Comparable<Entry> {
        override fun compareTo(other: Entry): Int = if (atMs !=
            other.atMs
        ) {
            atMs.compareTo(other.atMs)
        } else {
            sequence.compareTo(other.sequence)
        }
    }
}
