package cowslipcart.core.claims

import java.util.PriorityQueue
import kotlin.random.Random

/** Virtual time, seeded randomness, a lossy network and a trace for one generated history. */
internal class Simulation(val seed: Long) {
    val random = Random(seed)
    val trace = ArrayList<String>()
    var nowMs = START_MS
        private set

    /** Probability of each message fault: loss, duplication, a delay of up to 10 s. */
    var messageFaultRate = 0.0

    private val events = PriorityQueue<Event>(compareBy({ it.atMs }, { it.number }))
    private var eventCount = 0L

    fun after(delayMs: Long, action: () -> Unit) {
        events.add(Event(nowMs + delayMs, eventCount++, action))
    }

    fun runUntil(endMs: Long) {
        while (events.isNotEmpty() && events.peek().atMs <= endMs) {
            val event = events.remove()
            nowMs = event.atMs
            event.action()
        }
        nowMs = endMs
    }

    fun chance(rate: Double): Boolean = random.nextDouble() < rate

    fun between(fromMs: Long, untilMs: Long): Long = random.nextLong(fromMs, untilMs + 1)

    fun <T> pick(choices: List<T>): T = choices[random.nextInt(choices.size)]

    fun addTrace(text: String) {
        trace += "${nowMs - START_MS} ms: $text"
    }

    /** Delivers a message after a delay; [messageFaultRate] can lose or duplicate it. */
    fun send(deliver: () -> Unit) {
        if (chance(messageFaultRate)) return
        repeat(if (chance(messageFaultRate)) 2 else 1) {
            after(if (chance(messageFaultRate)) between(100, 10_000) else between(1, 4), deliver)
        }
    }

    private class Event(val atMs: Long, val number: Long, val action: () -> Unit)

    companion object {
        const val START_MS = 1_750_000_000_000L
    }
}

/** A host process that can be paused and killed. Its actions wait for the end of a pause. */
internal class SimulatedProcess(private val simulation: Simulation) {
    private var isAlive = true
    private var pausedUntilMs = 0L

    fun run(action: () -> Unit) {
        when {
            !isAlive -> Unit

            // Messages and timers that came due during the pause run in any order at its end.
            simulation.nowMs < pausedUntilMs ->
                simulation.after(pausedUntilMs - simulation.nowMs + simulation.between(0, 3)) {
                    run(action)
                }

            else -> action()
        }
    }

    fun pause(durationMs: Long) {
        pausedUntilMs = simulation.nowMs + durationMs
    }

    fun kill() {
        isAlive = false
    }
}
