package cowslipcart.systemtest

import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.BeforeAll
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestInstance

/** Guards against streams that a shutdown breaks and against new work on a leaving endpoint. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
internal class ShutdownTest {
    private lateinit var cluster: Cluster

    @BeforeAll
    fun startCluster() = runBlocking {
        cluster = Cluster.start(ClusterPlan(engineCount = 3))
    }

    @AfterAll
    fun stopCluster() = cluster.close()

    @Nested
    inner class Terminate {
        @Test
        fun `a daemon that shuts down reports not ready and completes its streams`() = runBlocking {
            val daemon = cluster.startDaemon(4)
            awaitTrue("${daemon.hostId} to be ready", LONG_BOUND_MS) { daemon.isReady() }
            val stream = coroutineScope {
                var eventCount = 0
                val stream = async(Dispatchers.IO) {
                    daemon.streamChat("shutdown", STREAM_TOKENS) { eventCount = it.eventCount }
                }
                awaitTrue("the stream to start") { eventCount > 0 }
                daemon.process.terminate()
                awaitTrue("readiness to end") { daemon.get("/readyz")?.status == 503 }
                assertTrue(daemon.process.isAlive, "expected the daemon to run while it drains")
                assertTrue(eventCount < STREAM_TOKENS, "expected the stream to run, found its end")
                stream.await()
            }
            assertNull(stream.findFault("shutdown", STREAM_TOKENS))
            assertEquals(0, daemon.process.awaitExit())
        }

        /** Guards against not-run from a host that no longer asks the others as it drains. */
        @Test
        fun `a host that shuts down does not answer not-run for a key that ran elsewhere`() =
            runBlocking {
                val key = newKey()
                assertEquals(201, cluster.daemons[0].signOff(key, BODY).status)
                val daemon = cluster.startDaemon(5)
                awaitTrue("${daemon.hostId} to be ready", LONG_BOUND_MS) { daemon.isReady() }
                daemon.process.terminate()
                awaitTrue("readiness to end") { daemon.get("/readyz")?.status == 503 }
                val answer = daemon.signOff(key, BODY)
                assertEquals("outcome-unknown", answer.problem, "$answer")
                assertEquals(0, daemon.process.awaitExit())
            }
    }

    @Nested
    inner class LeavingEndpoint {
        private suspend fun startTimesOn(engine: StandinHandle): List<Long> =
            json.decodeFromString<List<EngineRecord>>(engine.get("/journal")).map { it.startedAtMs }

        /** Sends chats while [leave] runs; none may start on [engine] more than 3 s after it. */
        private suspend fun checkNoNewWork(engine: StandinHandle, leave: suspend () -> Unit) =
            withContext(Dispatchers.Default) {
                var endMs = Long.MAX_VALUE
                val noticeAtMs = coroutineScope {
                    repeat(CALLER_COUNT) { number ->
                        launch { sendUntil(number) { nowMs() >= endMs } }
                    }
                    awaitTrue("the load to reach the engine") { startTimesOn(engine).size > 5 }
                    leave()
                    System.currentTimeMillis().also { endMs = nowMs() + WATCH_MS }
                }
                val afterMs = startTimesOn(engine).map { it - noticeAtMs }.filter { it > 0 }
                println("starts on a leaving engine after its notice: $afterMs ms")
                assertEquals(emptyList(), afterMs.filter { it > 3_000 })
            }

        private suspend fun sendUntil(number: Int, isEnd: () -> Boolean) {
            var count = 0
            while (!isEnd()) {
                val daemon = cluster.daemons[count % cluster.daemons.size]
                val answer = daemon.chat(chatBody("caller $number chat ${count++}", 5))
                assertEquals(200, answer.status, "$answer")
            }
        }

        @Test
        fun `an engine that reports that it leaves gets no new work after 3 s`() = runBlocking {
            val engine = cluster.engines[0]
            checkNoNewWork(engine) { engine.post("/control", """{"leaving":true}""") }
        }

        @Test
        fun `an engine that the host list shows as leaving gets no new work after 3 s`() =
            runBlocking {
                val engine = cluster.engines[1]
                cluster.list("inspection-2", engine.address, "endpoint", "live")
                checkNoNewWork(engine) {
                    cluster.list("inspection-2", engine.address, "endpoint", "leaving")
                }
            }
    }

    @Serializable
    private data class EngineRecord(@SerialName("started_at_ms") val startedAtMs: Long)

    private companion object {
        val json = Json { ignoreUnknownKeys = true }
        const val BODY = """{"frame":"swing"}"""
        const val STREAM_TOKENS = 500
        const val CALLER_COUNT = 8
        const val WATCH_MS = 6_000L
    }
}
