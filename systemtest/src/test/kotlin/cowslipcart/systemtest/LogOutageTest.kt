package cowslipcart.systemtest

import cowslipcart.wire.admin.SwitchPresetRequest
import kotlin.test.assertEquals
import kotlin.test.assertNotEquals
import kotlin.test.assertTrue
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.BeforeAll
import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestInstance

/** Guards against wrong answers and repeated runs while the log is down or loses acks. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
internal class LogOutageTest {
    private lateinit var cluster: Cluster

    @BeforeAll
    fun startCluster() = runBlocking { cluster = Cluster.start() }

    @AfterAll
    fun stopCluster() = cluster.close()

    /**
     * Ends the log faults and awaits that each daemon takes sign-offs. Many keys are sent because
     * the batchers of the key partitions notice the end of an outage one after the other.
     */
    private suspend fun endOutage() {
        cluster.setLogFaults("""{"outage":false,"lose_ack_rate":0.0}""")
        cluster.daemons.forEach { daemon ->
            awaitTrue("${daemon.hostId} to take sign-offs after the outage") {
                List(KEY_COUNT) { daemon.signOff(newKey(), BODY).status }.all { it == 201 }
            }
        }
    }

    @Nested
    inner class Outage {
        private lateinit var finishedKey: String
        private lateinit var finishedAnswer: String

        @BeforeEach
        fun startOutage() = runBlocking {
            finishedKey = newKey()
            val answer = cluster.daemons[0].signOff(finishedKey, BODY)
            assertEquals(201, answer.status, "$answer")
            finishedAnswer = answer.body
            cluster.setLogFaults("""{"outage":true}""")
        }

        @AfterEach
        fun stopOutage() = runBlocking { endOutage() }

        @Test
        fun `a sign-off is refused at once as not run and does not run later`() = runBlocking {
            val keys = mutableListOf<String>()
            for (daemon in cluster.daemons) {
                val timesMs = List(5) {
                    val key = newKey().also { keys += it }
                    val startMs = nowMs()
                    val answer = daemon.signOff(key, BODY)
                    assertEquals(503, answer.status, "$answer")
                    assertEquals("not-run", answer.problem, "$answer")
                    assertNotEquals(null, answer.headers["Retry-After"], "$answer")
                    nowMs() - startMs
                }
                println("not-run answers of ${daemon.hostId} in an outage after $timesMs ms")
                // A claim waits 2 s at most; the rest allows for a busy machine.
                assertTrue(timesMs.max() < 4_000, "expected less than 4,000 ms, found $timesMs")
            }
            endOutage()
            cluster.awaitIdle()
            val ran = cluster.journal().map { it.key }.filter { it in keys }
            assertEquals(emptyList(), ran)
        }

        @Test
        fun `a chat without a key is answered`() = runBlocking {
            for (daemon in cluster.daemons) {
                val answer = daemon.chat(chatBody("outage ${daemon.hostId}", 5))
                assertEquals(200, answer.status, "$answer")
            }
        }

        @Test
        fun `a resend of a key that ran is never answered as not run`() = runBlocking {
            repeat(3) {
                for (daemon in cluster.daemons) {
                    val answer = daemon.signOff(finishedKey, BODY)
                    val isStored = answer.status == 201 && answer.body == finishedAnswer
                    assertTrue(
                        isStored || answer.problem == "outcome-unknown",
                        "expected the stored answer or outcome-unknown, found $answer"
                    )
                }
            }
            endOutage()
            val answer = awaitValue("an answer to the resend") {
                cluster.daemons[1].signOff(finishedKey, BODY).takeIf { it.status == 201 }
            }
            assertEquals(finishedAnswer, answer.body)
            assertEquals(1, cluster.runCount(finishedKey))
        }

        @Test
        fun `a switch of the preset is refused and the preset stays in force`() = runBlocking {
            val before = cluster.daemons[0].config()
            for (daemon in cluster.daemons) {
                val request = SwitchPresetRequest(before.revision, "peak", "test")
                val answer = daemon.switchPreset(request)
                assertEquals(503, answer.status, "$answer")
                assertEquals("not-run", answer.problem, "$answer")
            }
            endOutage()
            assertEquals(before.revision, cluster.daemons[0].config().revision)
            assertEquals("ordinary", cluster.daemons[0].config().preset)
        }
    }

    @Nested
    inner class LostAnswers {
        @AfterEach
        fun restoreLog() = runBlocking { endOutage() }

        @Test
        fun `no key runs twice when the log loses half of its acks`() = runBlocking {
            cluster.setLogFaults("""{"lose_ack_rate":0.5}""")
            val keys = List(60) { newKey() }
            val caller = SignOffCaller(cluster.daemons)
            val results = coroutineScope {
                keys.mapIndexed { index, key ->
                    async { caller.send(key, BODY, index, maxSends = 6) }
                }.awaitAll()
            }
            println("lost log acks: ${results.groupingBy { it::class.simpleName }.eachCount()}")
            endOutage()
            cluster.awaitIdle()
            val runs = cluster.journal().groupingBy { it.key }.eachCount()
            for ((key, result) in keys.zip(results)) {
                val count = runs[key] ?: 0
                when (result) {
                    is SignOffResult.Answered -> assertEquals(1, count, "$key: $result")
                    SignOffResult.NotRun -> assertEquals(0, count, "$key: $result")
                    SignOffResult.Unknown -> assertTrue(count <= 1, "$key: $count runs")
                }
            }
        }
    }

    private companion object {
        /** Twice the 8 key partitions, so that most of them get a key. */
        const val KEY_COUNT = 16
        const val BODY = """{"frame":"F-18"}"""
    }
}
