package cowslipcart.systemtest

import cowslipcart.standins.service.ServiceState
import java.util.concurrent.ConcurrentLinkedQueue
import kotlin.random.Random
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext

/** A fault that is injected during the load. */
internal enum class LoadFault { PAUSE, KILL, LOG_OUTAGE, LOST_ACKS }

/** Sends sign-offs from several callers and injects one fault after the other. */
internal class SignOffLoad(
    private val cluster: Cluster,
    private val seconds: Long,
    private val seed: Long
) {
    private class FinishedSignOff(
        val key: String,
        val body: String,
        val result: SignOffResult,
        val atMs: Long
    )

    private val random = Random(seed)
    private val finished = ConcurrentLinkedQueue<FinishedSignOff>()
    private val faults = mutableListOf<LoadFault>()
    private val endMs = nowMs() + seconds * 1_000

    /** Runs the load with its faults, then awaits that all daemons are ready and nothing runs. */
    suspend fun run() = withContext(Dispatchers.Default) {
        coroutineScope {
            repeat(CALLER_COUNT) { launch { sendUntilEnd(it) } }
            launch { injectUntilEnd() }
        }
        cluster.awaitReady()
        cluster.awaitIdle()
        val counts = finished.groupingBy { it.result::class.simpleName }.eachCount()
        println("sign-off load: $seconds s, ${finished.size} sign-offs $counts, faults $faults")
    }

    /** Compares what callers were told with the journal of the plain service. */
    suspend fun check() {
        val runs = cluster.journal().groupBy { it.key }
        val twice = runs.filterValues { it.size > 1 }.keys
        assertEquals(emptySet(), twice, "keys that ran more than once")
        val answered = finished.filter { it.result is SignOffResult.Answered }
        assertTrue(answered.isNotEmpty(), "expected answered sign-offs, found none")
        for (signOff in answered) {
            val hash = ServiceState.contentHash(signOff.body)
            assertTrue(
                signOff.key in runs,
                "${signOff.key}: expected a run for its answer, found none"
            )
            assertTrue(
                hash in "${signOff.result}",
                "${signOff.key}: expected hash $hash of ${signOff.body}, found ${signOff.result}"
            )
        }
        val falseNotRun = finished.filter { it.result == SignOffResult.NotRun && it.key in runs }
            .map { "${it.key}: told not-run at ${it.atMs}, ran at ${runs[it.key]?.first()?.atMs}" }
        assertEquals(emptyList(), falseNotRun, "keys that ran although a caller was told not-run")
    }

    /** Resends a sample of keys that ran; none may be answered as not-run or run again. */
    suspend fun checkResends() {
        val ran = cluster.journal().mapNotNull { it.key }
        for (signOff in finished.filter { it.key in ran }.shuffled(random).take(RESEND_COUNT)) {
            val answer = cluster.daemons.random(random).signOff(signOff.key, signOff.body)
            assertTrue(
                answer.status == 201 || answer.problem == "outcome-unknown",
                "${signOff.key}: expected its answer or outcome-unknown, found $answer"
            )
        }
        val twice = cluster.journal().groupBy { it.key }.filterValues { it.size > 1 }.keys
        assertEquals(emptySet(), twice, "keys that ran again after a resend")
    }

    private suspend fun sendUntilEnd(number: Int) {
        val caller = SignOffCaller(cluster.daemons)
        val random = Random(seed + number)
        var count = 0
        while (nowMs() < endMs) {
            val key = newKey()
            val body = """{"frame":"caller-$number-${count++}"}"""
            val first = random.nextInt(cluster.daemons.size)
            val result = caller.send(key, body, first, MAX_SENDS)
            finished += FinishedSignOff(key, body, result, System.currentTimeMillis())
        }
    }

    private suspend fun injectUntilEnd() {
        var remaining = listOf(LoadFault.PAUSE)
        while (nowMs() < endMs) {
            awaitSignOffs(CALLER_COUNT * 2)
            val fault = remaining.first()
            remaining = remaining.drop(1).ifEmpty { LoadFault.entries.shuffled(random) }
            faults += fault
            inject(fault)
        }
    }

    private suspend fun inject(fault: LoadFault) {
        val index = random.nextInt(cluster.daemons.size)
        when (fault) {
            LoadFault.PAUSE -> pause(index)

            LoadFault.KILL -> {
                cluster.replaceDaemon(index)
                cluster.awaitReady()
            }

            LoadFault.LOG_OUTAGE -> withLogFault("""{"outage":true}""")

            LoadFault.LOST_ACKS -> withLogFault("""{"lose_ack_rate":0.3}""")
        }
    }

    /** Pauses a daemon until another one considers it dead and more sign-offs have ended. */
    private suspend fun pause(index: Int) {
        val daemon = cluster.daemons[index]
        val observer = cluster.daemons[(index + 1) % cluster.daemons.size]
        daemon.process.pause()
        try {
            awaitTrue("${observer.hostId} to see ${daemon.hostId} as dead", LONG_BOUND_MS) {
                !observer.admin("hosts").body.contains("\"${daemon.hostId}\"")
            }
            awaitSignOffs(CALLER_COUNT * 2)
        } finally {
            daemon.process.resume()
        }
    }

    private suspend fun withLogFault(change: String) {
        cluster.setLogFaults(change)
        awaitSignOffs(CALLER_COUNT * 2)
        cluster.setLogFaults("""{"outage":false,"lose_ack_rate":0.0}""")
    }

    /** Awaits that [count] more sign-offs have ended, or the end of the load. */
    private suspend fun awaitSignOffs(count: Int) {
        val target = finished.size + count
        awaitTrue("$count sign-offs to end", LONG_BOUND_MS) {
            finished.size >= target || nowMs() >= endMs
        }
    }

    private companion object {
        const val CALLER_COUNT = 12
        const val MAX_SENDS = 8
        const val RESEND_COUNT = 40
    }
}
