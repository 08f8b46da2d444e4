package cowslipcart.experiment.scenario

import cowslipcart.experiment.sim.EventQueue

/** Virtual time of one world, with a trace of what happened. */
internal class Timeline {
    private val queue = EventQueue()
    private val lines = ArrayDeque<String>()

    val nowMs: Long get() = queue.nowMs

    /** Clock of callers, hosts and log, milliseconds since 1970. */
    val wallNowMs: Long get() = START_WALL_MS + queue.nowMs

    /** The last [MAX_LINES] lines. */
    val trace: List<String> get() = lines.toList()

    fun after(delayMs: Long, action: () -> Unit) = queue.scheduleIn(delayMs, action)

    /** Runs all actions of the next [durationMs]. */
    fun advance(durationMs: Long) {
        var isDone = false
        queue.scheduleIn(durationMs) { isDone = true }
        queue.run { !isDone }
    }

    /** Appends a line with the current time to the trace. */
    fun note(text: String) {
        lines.addLast("%7d ms  %s".format(nowMs, text))
        if (lines.size > MAX_LINES) lines.removeFirst()
    }

    private companion object {
        const val START_WALL_MS = 1_780_000_000_000L
        const val MAX_LINES = 400
    }
}
