package cowslipcart.systemtest

import cowslipcart.standins.platform.RunnerFault
import cowslipcart.standins.platform.RunnerServer
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.test.fail
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Nested

/** Tests gateway processes whose runners lose, repeat, break off or refuse answers. */
class GatewayRunnerFaultTest {
    private val cluster = GatewayCluster()
    private val chat =
        listOf("Token-Count" to "600,80", "Model" to "m", "Prompt-Prefix" to "a1:600")

    @AfterTest
    fun stop() = cluster.close()

    private companion object {
        /** A stream takes twelve times as long. */
        const val EVENT_GAP_MS = 50L

        /** Streams among which one reaches a runner that is not preferred. */
        const val MAX_STREAMS = 50

        /** Streams that keep a runner busy for longer than the time limit of a stream. */
        const val BUSY_STREAMS = 20
        const val BUSY_GAP_MS = 250L
    }

    private suspend fun startReadyGateway(): GatewayHandle {
        cluster.publish()
        return cluster.startGateway("gateway").also { it.awaitReady() }
    }

    @Nested
    inner class RunnerFaults {
        @Test
        fun `a request that runs once is not repeated when its answer is lost`(): Unit =
            runBlocking {
                val runners = listOf("desk-1", "desk-2").map { cluster.startRunner(it, "desk") }
                val gateway = startReadyGateway()
                runners.forEach { it.faults += RunnerFault.AnswerLost }

                assertEquals(502, gateway.send("/order/1").status)
                assertEquals(1, runners.sumOf { it.runs.size })
            }

        @Test
        fun `a read is repeated at another runner`(): Unit = runBlocking {
            val runners = listOf("desk-1", "desk-2").map { cluster.startRunner(it, "desk") }
            val gateway = startReadyGateway()
            runners.forEach { it.faults += RunnerFault.Fails }
            runners.first().faults.clear()

            val answers = (1..2).map { gateway.send("/read/$it", "GET", null).status }
            assertEquals(listOf(200, 200), answers)
        }

        @Test
        fun `a stream that breaks within an event goes on at another runner`(): Unit = runBlocking {
            val runners = listOf("model-1", "model-2").map { cluster.startRunner(it, "model") }
            val gateway = startReadyGateway()
            runners.forEach { it.faults += RunnerFault.BreakAt(5) }
            runners.first().faults.clear()

            repeat(2) {
                val stream = gateway.send("/chat/$it", headers = chat)
                val ids = Regex("id: (\\d+)").findAll(stream.body).map { it.groupValues[1] }
                assertEquals((1..RunnerServer.EVENT_COUNT).map { "$it" }, ids.toList())
            }
        }

        /** Guards against a stream cut off inside an event that is forwarded as complete. */
        @Test
        fun `a stream that ends with its connection within an event is resumed`(): Unit =
            runBlocking {
                val ids = idsAfter(RunnerFault.Unframed(brokenEvent = 5))
                assertEquals((1..RunnerServer.EVENT_COUNT).map { "$it" }, ids)
            }

        @Test
        fun `a stream that ends with its connection after its last event is complete`(): Unit =
            runBlocking {
                val ids = idsAfter(RunnerFault.Unframed())
                assertEquals((1..RunnerServer.EVENT_COUNT).map { "$it" }, ids)
            }

        @Test
        fun `a stream without a length whose connection is reset is resumed`(): Unit = runBlocking {
            val ids = idsAfter(RunnerFault.UnframedReset(5))
            assertEquals((1..RunnerServer.EVENT_COUNT).map { "$it" }, ids)
        }

        /** Returns the ids in a stream whose first runner has [fault]. */
        private suspend fun idsAfter(fault: RunnerFault): List<String> {
            val runners = listOf("model-1", "model-2").map { cluster.startRunner(it, "model") }
            val gateway = startReadyGateway()
            gateway.send("/chat/1", headers = chat)
            // The runner that holds the prompt is preferred, unless control does not know yet that
            // the first stream has ended, whose caller has it.
            val holder = runners.single { it.runs.isNotEmpty() }
            holder.faults += fault
            repeat(MAX_STREAMS) {
                val stream = gateway.send("/chat/${it + 2}", headers = chat)
                val ids = Regex("(?m)^id: (\\d+)$").findAll(stream.body)
                    .map { id -> id.groupValues[1] }.toList()
                if (holder.faults.isEmpty()) return ids
            }
            fail("expected a run with $fault")
        }

        @Test
        fun `an extra answer on a keep-alive connection reaches no caller`(): Unit = runBlocking {
            val desk = cluster.startRunner("desk-1", "desk")
            val gateway = startReadyGateway()
            desk.faults += RunnerFault.ExtraAnswer

            repeat(3) {
                val answer = gateway.send("/read/$it", "GET", null)
                assertEquals(200, answer.status)
                assertTrue(answer.body.startsWith("answer of desk-1 to a"))
            }
        }

        @Test
        fun `a request that a full runner refuses gets 503 and does not run`(): Unit = runBlocking {
            val desk = cluster.startRunner("desk-1", "desk")
            val gateway = startReadyGateway()
            desk.faults += RunnerFault.Full

            val answer = gateway.send("/order/1")
            assertEquals(503, answer.status)
            assertTrue(desk.runs.isEmpty())
            assertTrue("Retry-After" in answer.headers)
        }
    }

    /** Guards against a request whose connection falls silent for good while others go on. */
    @Nested
    inner class SilentConnections {
        @Test
        fun `another runner takes over although the runner answers on other connections`(): Unit =
            runBlocking {
                val runners = listOf("model-1", "model-2")
                    .map { cluster.startRunner(it, "model", EVENT_GAP_MS) }
                val gateway = startReadyGateway()
                gateway.send("/chat/1", headers = chat)
                val holder = runners.single { it.runs.isNotEmpty() }
                synchronized(holder.faults) { holder.faults += RunnerFault.Hang }
                val silent = async(Dispatchers.IO) { gateway.send("/chat/2", headers = chat) }
                val others = List(BUSY_STREAMS) { number ->
                    async(Dispatchers.IO) {
                        delay(number * BUSY_GAP_MS)
                        gateway.send("/chat/busy-$number", headers = chat)
                    }
                }

                val stream = silent.await()
                others.awaitAll()
                val ids = Regex("id: (\\d+)").findAll(stream.body).map { it.groupValues[1] }
                assertEquals((1..RunnerServer.EVENT_COUNT).map { "$it" }, ids.toList())
            }
    }

    @Nested
    inner class RepeatedRefusals {
        /** Guards against "not run" for an order that a runner has run. */
        @Test
        fun `an order that meets the refusal of an earlier one is not called refused`(): Unit =
            runBlocking {
                val desk = cluster.startRunner("desk-1", "desk")
                val gateway = startReadyGateway()
                desk.faults += listOf(RunnerFault.Full, RunnerFault.RepeatedRefusal(null))

                assertEquals(503, gateway.send("/order/1").status)
                assertEquals(502, gateway.send("/order/2").status)
                assertEquals(1, desk.runs.size)
            }

        @Test
        fun `an order is answered after the refusal of an earlier one that names it`(): Unit =
            runBlocking {
                val desk = cluster.startRunner("desk-1", "desk")
                val gateway = startReadyGateway()
                desk.faults += listOf(RunnerFault.Full, RunnerFault.RepeatedRefusal("earlier"))

                assertEquals(503, gateway.send("/order/1").status)
                assertEquals(200, gateway.send("/order/2").status)
                assertEquals(1, desk.runs.size)
            }
    }
}
