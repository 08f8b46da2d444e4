package cowslipcart.systemtest

import cowslipcart.standins.platform.RunnerFault
import cowslipcart.standins.platform.RunnerServer
import cowslipcart.standins.platform.StoreFault
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Nested

/** The real program through a calm day, and through faults of the platform. */
class GatewayTest {
    private val cluster = GatewayCluster()
    private val chat =
        listOf("Token-Count" to "600,80", "Model" to "m", "Prompt-Prefix" to "a1:600")

    @AfterTest
    fun stop() = cluster.close()

    private suspend fun startServing(): GatewayHandle {
        cluster.publish()
        return cluster.startGateway("gateway").also { it.awaitReady() }
    }

    @Nested
    inner class CalmDay {
        @Test
        fun `reads, sign-offs and streams come back whole from their runners`(): Unit =
            runBlocking {
                val desk = cluster.startRunner("desk-1", "desk")
                cluster.startRunner("model-1", "model")
                val gateway = startServing()

                val order = gateway.send("/order/7?x=%20y", body = "frame 7")
                assertEquals(200, order.status)
                assertTrue(order.headers.getValue("Response-Seal").startsWith("seal-desk-1"))
                val run = desk.runs.single()
                assertEquals("POST /order/7?x=%20y HTTP/1.1", run.firstLine)
                assertEquals("frame 7", run.body)
                assertEquals("org", run.headers["tenant"])
                assertFalse("api-key" in run.headers)

                assertEquals(200, gateway.send("/read/1", "GET", body = null).status)
                val stream = gateway.send("/chat/1", headers = chat)
                assertEquals(RunnerServer.EVENT_COUNT, Regex("id: ").findAll(stream.body).count())
            }

        @Test
        fun `unknown routes and keys are rejected without a run`(): Unit = runBlocking {
            val desk = cluster.startRunner("desk-1", "desk")
            val gateway = startServing()

            assertEquals(404, gateway.send("/nowhere/1").status)
            assertEquals(401, gateway.send("/order/1", key = "wrong").status)
            assertEquals(401, gateway.send("/order/1", key = null).status)
            assertTrue(desk.runs.isEmpty())
        }

        @Test
        fun `a changed configuration and a key that was taken away bind`(): Unit = runBlocking {
            cluster.startRunner("desk-1", "desk")
            val gateway = startServing()
            cluster.publish(GatewayCluster.ROUTES_WITHOUT_READ, keys = listOf("new-key"))

            awaitValue("the route to be gone", IN_FORCE_MS) {
                gateway.send("/read/1", "GET", null, "new-key").status.takeIf { it == 404 }
            }
            assertEquals(401, gateway.send("/order/1").status)
        }

        @Test
        fun `a draining runner gets no new request`(): Unit = runBlocking {
            val first = cluster.startRunner("desk-1", "desk")
            val second = cluster.startRunner("desk-2", "desk")
            val gateway = startServing()
            cluster.list("desk-1", first, "desk", state = "draining")
            delay(DRAIN_MS)
            val before = first.runs.size

            repeat(10) { assertEquals(200, gateway.send("/read/$it", "GET", null).status) }
            assertEquals(before, first.runs.size)
            assertEquals(10, second.runs.size)
        }

        @Test
        fun `requests over the limit get 429 and do not run`(): Unit = runBlocking {
            val desk = cluster.startRunner("desk-1", "desk")
            cluster.publish(ratePerS = 1_000)
            val gateway = cluster.startGateway("gateway").also { it.awaitReady() }

            val statuses = (1..8).map { gateway.send("/order/$it").status }
            assertTrue(429 in statuses, "found $statuses")
            assertEquals(statuses.count { it == 200 }, desk.runs.size)
        }
    }

    @Nested
    inner class WarmUp {
        /** Guards against builds beside each other that meet at a port: one of two failed so. */
        @Test
        fun `two warm-ups run beside each other`() {
            val runs = (1..2).map {
                ManagedProcess.start("warm-up-$it", Program.GATEWAY, listOf("--warm-up"))
            }
            runs.use { processes ->
                assertEquals(listOf(0, 0), processes.map { it.awaitExit() })
            }
        }

        private fun <T> List<ManagedProcess>.use(block: (List<ManagedProcess>) -> T): T = try {
            block(this)
        } finally {
            forEach { it.close() }
        }
    }

    @Nested
    inner class RunnerFaults {
        @Test
        fun `a request that runs once is not repeated when its answer is lost`(): Unit =
            runBlocking {
                val runners = listOf("desk-1", "desk-2").map { cluster.startRunner(it, "desk") }
                val gateway = startServing()
                runners.forEach { it.faults += RunnerFault.AnswerLost }

                assertEquals(502, gateway.send("/order/1").status)
                assertEquals(1, runners.sumOf { it.runs.size })
            }

        @Test
        fun `a read is repeated at another runner`(): Unit = runBlocking {
            val runners = listOf("desk-1", "desk-2").map { cluster.startRunner(it, "desk") }
            val gateway = startServing()
            runners.forEach { it.faults += RunnerFault.Fails }
            runners.first().faults.clear()

            val answers = (1..2).map { gateway.send("/read/$it", "GET", null).status }
            assertEquals(listOf(200, 200), answers)
        }

        @Test
        fun `a stream that breaks within an event goes on at another runner`(): Unit = runBlocking {
            val runners = listOf("model-1", "model-2").map { cluster.startRunner(it, "model") }
            val gateway = startServing()
            runners.forEach { it.faults += RunnerFault.BreakAt(5) }
            runners.first().faults.clear()

            repeat(2) {
                val stream = gateway.send("/chat/$it", headers = chat)
                val ids = Regex("id: (\\d+)").findAll(stream.body).map { it.groupValues[1] }
                assertEquals((1..RunnerServer.EVENT_COUNT).map { "$it" }, ids.toList())
            }
        }

        @Test
        fun `an extra answer on a kept connection reaches nobody`(): Unit = runBlocking {
            val desk = cluster.startRunner("desk-1", "desk")
            val gateway = startServing()
            desk.faults += RunnerFault.ExtraAnswer

            repeat(3) {
                val answer = gateway.send("/read/$it", "GET", null)
                assertEquals(200, answer.status)
                assertTrue(answer.body.startsWith("answer of desk-1 to a"))
            }
        }

        @Test
        fun `a full runner leads to a refusal that is true`(): Unit = runBlocking {
            val desk = cluster.startRunner("desk-1", "desk")
            val gateway = startServing()
            desk.faults += RunnerFault.Full

            val answer = gateway.send("/order/1")
            assertEquals(503, answer.status)
            assertTrue(desk.runs.isEmpty())
            assertTrue("Retry-After" in answer.headers)
        }
    }

    @Nested
    inner class StoreFaults {
        @Test
        fun `requests are served while the store is away`(): Unit = runBlocking {
            cluster.startRunner("desk-1", "desk")
            val gateway = startServing()
            for (fault in listOf(StoreFault.Busy, StoreFault.Silent, StoreFault.Slow(400))) {
                cluster.store.fault = fault
                delay(OUTAGE_MS)
                assertEquals(200, gateway.send("/read/1", "GET", null).status, "during $fault")
                assertTrue(gateway.isReady())
            }
        }

        @Test
        fun `a change after an outage and a loss of history binds`(): Unit = runBlocking {
            cluster.startRunner("desk-1", "desk")
            val gateway = startServing()
            cluster.store.fault = StoreFault.Silent
            delay(OUTAGE_MS)
            cluster.publish(GatewayCluster.ROUTES_WITHOUT_READ)
            cluster.store.log.compact("keyed.op")
            cluster.store.log.compact("keyed.servers")
            cluster.store.fault = StoreFault.None

            awaitValue("the route to be gone", IN_FORCE_AFTER_OUTAGE_MS) {
                gateway.send("/read/1", "GET", null).status.takeIf { it == 404 }
            }
            assertEquals(200, gateway.send("/order/1").status)
        }

        @Test
        fun `a gateway that knows no configuration is not ready and promises not to run`(): Unit =
            runBlocking {
                val gateway = cluster.startGateway("gateway")
                awaitValue("the gateway to answer", LONG_BOUND_MS) {
                    HttpCaller.trySend(
                        HttpRequestData(
                            "http://127.0.0.1:${gateway.frontPort}/read/1",
                            "GET"
                        )
                    )?.takeIf { it.status == 503 }
                }
                assertFalse(gateway.isReady())
            }
    }

    @Nested
    inner class BadInput {
        @Test
        fun `a request hidden in another one does not run`(): Unit = runBlocking {
            val desk = cluster.startRunner("desk-1", "desk")
            val gateway = startServing()
            val answer = gateway.sendRaw(
                "POST /order/1 HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 4\r\n" +
                    "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nPOST /order/2 HTTP/1.1\r\n\r\n"
            )
            assertTrue(answer.startsWith("HTTP/1.1 400"), answer)
            assertTrue(desk.runs.isEmpty())
            assertEquals(200, gateway.send("/order/3").status)
        }

        @Test
        fun `records of another writer leave the others in force`(): Unit = runBlocking {
            cluster.startRunner("desk-1", "desk")
            val gateway = startServing()
            for (value in listOf("", "{", "{\"service\":7}", "\u0000\u0001", "[]")) {
                cluster.store.log.append("keyed.servers", "x", value.toByteArray())
                cluster.store.log.append("keyed.op", "config", value.toByteArray())
            }
            delay(DRAIN_MS)
            assertEquals(200, gateway.send("/read/1", "GET", null).status)
        }
    }

    @Nested
    inner class Stopping {
        @Test
        fun `a stopped gateway is not ready at once and ends its streams`(): Unit = runBlocking {
            cluster.startRunner("model-1", "model", eventGapMs = 100)
            val gateway = startServing()
            gateway.process.terminate()
            val stream = gateway.send("/chat/1", headers = chat)
            assertFalse(gateway.isReady())
            assertEquals(RunnerServer.EVENT_COUNT, Regex("id: ").findAll(stream.body).count())
            assertEquals(0, gateway.process.awaitExit())
        }
    }

    @Nested
    inner class LateRequests {
        /** Guards against a request that is taken late and cut when the process is killed. */
        @Test
        fun `a request on an open connection three seconds after the signal is refused`(): Unit =
            runBlocking {
                val model = cluster.startRunner("model-1", "model", eventGapMs = 600)
                val gateway = startServing()
                val under = async { gateway.send("/chat/1", headers = chat) }
                delay(SETTLE_MS)
                gateway.process.terminate()
                delay(LATE_MS)

                assertEquals(503, gateway.send("/chat/2", headers = chat).status)
                assertEquals(1, model.runs.size)
                assertEquals(200, under.await().status)
            }

        @Test
        fun `the only endpoint allowed is waited for until the timeout`(): Unit = runBlocking {
            val desk = cluster.startRunner("desk-1", "desk")
            val gateway = startServing()
            desk.faults += RunnerFault.Hang

            assertEquals(504, gateway.send("/order/1").status)
        }

        @Test
        fun `a read is repeated when its runner is silent`(): Unit = runBlocking {
            val runners = listOf("desk-1", "desk-2").map { cluster.startRunner(it, "desk") }
            val gateway = startServing()
            runners.first().faults += RunnerFault.Hang

            val statuses = (1..2).map { gateway.send("/read/$it", "GET", null).status }
            assertEquals(listOf(200, 200), statuses)
        }
    }

    private companion object {
        const val SETTLE_MS = 300L

        /** Callers keep sending on open connections; the platform counts them up to here. */
        const val LATE_MS = 3_000L

        /** Bounds of the platform, in ms. */
        const val IN_FORCE_MS = 2_000L
        const val DRAIN_MS = 2_000L
        const val IN_FORCE_AFTER_OUTAGE_MS = 5_000L

        /** Longer than the time-out of a call to the store, in ms. */
        const val OUTAGE_MS = 2_200L
    }
}
