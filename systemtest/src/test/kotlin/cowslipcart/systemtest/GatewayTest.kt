package cowslipcart.systemtest

import cowslipcart.standins.platform.RunnerFault
import cowslipcart.standins.platform.RunnerServer
import cowslipcart.standins.platform.StoreFault
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.TimeSource
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Nested

/** Tests gateway processes in normal operation and under faults of the platform. */
class GatewayTest {
    private val cluster = GatewayCluster()
    private val chat =
        listOf("Token-Count" to "600,80", "Model" to "m", "Prompt-Prefix" to "a1:600")

    @AfterTest
    fun stop() = cluster.close()

    private suspend fun startReadyGateway(): GatewayHandle {
        cluster.publish()
        return cluster.startGateway("gateway").also { it.awaitReady() }
    }

    @Nested
    inner class NormalOperation {
        @Test
        fun `reads, sign-offs and streams return complete answers`(): Unit = runBlocking {
            val desk = cluster.startRunner("desk-1", "desk")
            cluster.startRunner("model-1", "model")
            val gateway = startReadyGateway()

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
            val gateway = startReadyGateway()

            assertEquals(404, gateway.send("/nowhere/1").status)
            assertEquals(401, gateway.send("/order/1", key = "wrong").status)
            assertEquals(401, gateway.send("/order/1", key = null).status)
            assertTrue(desk.runs.isEmpty())
        }

        @Test
        fun `a removed route and a removed key take effect`(): Unit = runBlocking {
            cluster.startRunner("desk-1", "desk")
            val gateway = startReadyGateway()
            cluster.publish(GatewayCluster.ROUTES_WITHOUT_READ, keys = listOf("new-key"))

            awaitValue("the route to be gone", CONFIG_PROPAGATION_MS) {
                gateway.send("/read/1", "GET", null, "new-key").status.takeIf { it == 404 }
            }
            assertEquals(401, gateway.send("/order/1").status)
        }

        @Test
        fun `a draining runner gets no new request`(): Unit = runBlocking {
            val first = cluster.startRunner("desk-1", "desk")
            val second = cluster.startRunner("desk-2", "desk")
            val gateway = startReadyGateway()
            cluster.register("desk-1", first, "desk", state = "draining")
            delay(DRAIN_PROPAGATION_MS)
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
        /** Guards against a port conflict that made one of two parallel builds fail. */
        @Test
        fun `two warm-ups can run in parallel`() {
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
    inner class StoreFaults {
        @Test
        fun `requests are served while the store is unavailable`(): Unit = runBlocking {
            cluster.startRunner("desk-1", "desk")
            val gateway = startReadyGateway()
            for (fault in listOf(StoreFault.Busy, StoreFault.Silent, StoreFault.Slow(400))) {
                cluster.store.fault = fault
                delay(OUTAGE_MS)
                assertEquals(200, gateway.send("/read/1", "GET", null).status, "during $fault")
                assertTrue(gateway.isReady())
            }
        }

        @Test
        fun `a change made in an outage takes effect after compaction`(): Unit = runBlocking {
            cluster.startRunner("desk-1", "desk")
            val gateway = startReadyGateway()
            cluster.store.fault = StoreFault.Silent
            delay(OUTAGE_MS)
            cluster.publish(GatewayCluster.ROUTES_WITHOUT_READ)
            cluster.store.log.compact("keyed.op")
            cluster.store.log.compact("keyed.servers")
            cluster.store.fault = StoreFault.None

            awaitValue("the route to be gone", CONFIG_RECOVERY_MS) {
                gateway.send("/read/1", "GET", null).status.takeIf { it == 404 }
            }
            assertEquals(200, gateway.send("/order/1").status)
        }

        @Test
        fun `a gateway without a configuration is not ready and answers 503`(): Unit = runBlocking {
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
        fun `a smuggled request does not run`(): Unit = runBlocking {
            val desk = cluster.startRunner("desk-1", "desk")
            val gateway = startReadyGateway()
            val answer = gateway.sendRaw(
                "POST /order/1 HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 4\r\n" +
                    "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nPOST /order/2 HTTP/1.1\r\n\r\n"
            )
            assertTrue(answer.startsWith("HTTP/1.1 400"), answer)
            assertTrue(desk.runs.isEmpty())
            assertEquals(200, gateway.send("/order/3").status)
        }

        @Test
        fun `invalid store records leave the valid ones in effect`(): Unit = runBlocking {
            cluster.startRunner("desk-1", "desk")
            val gateway = startReadyGateway()
            for (value in listOf("", "{", "{\"service\":7}", "\u0000\u0001", "[]")) {
                cluster.store.log.append("keyed.servers", "x", value.toByteArray())
                cluster.store.log.append("keyed.op", "config", value.toByteArray())
            }
            delay(DRAIN_PROPAGATION_MS)
            assertEquals(200, gateway.send("/read/1", "GET", null).status)
        }
    }

    @Nested
    inner class Stopping {
        @Test
        fun `a terminated gateway is unready at once and completes its streams`(): Unit =
            runBlocking {
                cluster.startRunner("model-1", "model", eventGapMs = 100)
                val gateway = startReadyGateway()
                gateway.process.terminate()
                val stream = gateway.send("/chat/1", headers = chat)
                assertFalse(gateway.isReady())
                assertEquals(RunnerServer.EVENT_COUNT, Regex("id: ").findAll(stream.body).count())
                assertEquals(0, gateway.process.awaitExit())
            }
    }

    /** Guards against a process that ends with a part of an answer that is read slowly. */
    @Nested
    inner class SlowCallers {
        @Test
        fun `a long answer is complete although the process ends while it is read`(): Unit =
            runBlocking(Dispatchers.IO) {
                val head = "HTTP/1.1 200 OK\r\nAttempt-Id: ID\r\nResponse-Seal: seal\r\n" +
                    "Content-Length: $LONG_BYTES\r\n\r\n"
                EndlessRunner(head, "x").use { runner ->
                    cluster.register("desk-1", runner.address, "desk", "ready")
                    cluster.publish(routes = GatewayCluster.ROUTES_WITH_LONG_ORDERS)
                    val gateway = cluster.startGateway("gateway").also { it.awaitReady() }
                    val reading = async { gateway.readSlowly("/order/1", BYTES_PER_S) }
                    delay(SETTLE_MS)
                    gateway.process.terminate()

                    val received = reading.await()
                    val bodyBytes = received.length - received.indexOf("\r\n\r\n") - 4
                    assertEquals(LONG_BYTES, bodyBytes)
                    assertEquals(0, gateway.process.awaitExit())
                }
            }
    }

    @Nested
    inner class LateRequests {
        /**
         * Guards against a late request that is accepted and cut off when the process is killed.
         */
        @Test
        fun `a request on an open connection three seconds after the signal is refused`(): Unit =
            runBlocking {
                val model = cluster.startRunner("model-1", "model", eventGapMs = 600)
                val gateway = startReadyGateway()
                val running = async { gateway.send("/chat/1", headers = chat) }
                delay(SETTLE_MS)
                gateway.process.terminate()
                delay(LATE_MS)

                assertEquals(503, gateway.send("/chat/2", headers = chat).status)
                assertEquals(1, model.runs.size)
                assertEquals(200, running.await().status)
            }

        /**
         * Guards against requests that are passed on late in a shutdown and end without an answer
         * with the process. They may have run, so the answer promises nothing.
         */
        @Test
        fun `an order that is in flight when the shutdown ends gets 502`(): Unit = runBlocking {
            val desk = cluster.startRunner("desk-1", "desk")
            cluster.publish(routes = GatewayCluster.ROUTES_WITH_LONG_ORDERS)
            val gateway = cluster.startGateway("gateway").also { it.awaitReady() }
            repeat(2) { desk.faults += RunnerFault.Hang }
            val early = async { gateway.send("/order/1", headers = LONG_DEADLINE) }
            delay(SETTLE_MS)
            gateway.process.terminate()
            delay(LATE_MS - 2 * SETTLE_MS)
            val late = async { gateway.send("/order/2", headers = LONG_DEADLINE) }

            assertEquals(listOf(502, 502), listOf(early.await().status, late.await().status))
            assertEquals(2, desk.runs.size)
            assertEquals(0, gateway.process.awaitExit())
        }

        /** Guards against a process that ends while it still reads a request. */
        @Test
        fun `a request that is being read when nothing else is left is refused`(): Unit =
            runBlocking {
                val gateway = startReadyGateway()
                gateway.process.terminate()
                delay(LATE_MS - SETTLE_MS)
                val answer = gateway.sendInParts(
                    "POST /order/1 HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: late\r\n" +
                        "Api-Key: ${GatewayCluster.KEY}\r\nContent-Length: 2\r\n\r\n",
                    "{}",
                    pauseMs = 4 * SETTLE_MS
                )
                assertEquals("HTTP/1.1 503", answer.take(12))
                assertEquals(0, gateway.process.awaitExit())
            }

        @Test
        fun `an order whose only runner hangs gets 504`(): Unit = runBlocking {
            val desk = cluster.startRunner("desk-1", "desk")
            val gateway = startReadyGateway()
            desk.faults += RunnerFault.Hang

            assertEquals(504, gateway.send("/order/1").status)
        }

        /** Guards against an answer that trickles in and keeps its caller beyond the deadline. */
        @Test
        fun `an order whose answer trickles in gets 504 at its deadline`(): Unit = runBlocking {
            val desk = cluster.startRunner("desk-1", "desk")
            val gateway = startReadyGateway()
            desk.faults += RunnerFault.Trickle
            val startedAt = TimeSource.Monotonic.markNow()

            assertEquals(504, gateway.send("/order/1").status)
            val tookMs = startedAt.elapsedNow().inWholeMilliseconds
            assertTrue(tookMs in ORDER_TIMEOUT_MS..ORDER_TIMEOUT_MS + SLACK_MS, "took $tookMs ms")
        }

        @Test
        fun `a read is repeated when its runner is silent`(): Unit = runBlocking {
            val runners = listOf("desk-1", "desk-2").map { cluster.startRunner(it, "desk") }
            val gateway = startReadyGateway()
            runners.first().faults += RunnerFault.Hang

            val statuses = (1..2).map { gateway.send("/read/$it", "GET", null).status }
            assertEquals(listOf(200, 200), statuses)
        }
    }

    private companion object {
        const val SETTLE_MS = 300L

        /** Exceeds what the kernel holds for a caller; read for as long as a shutdown may last. */
        const val LONG_BYTES = 7_900_000
        const val BYTES_PER_S = 1_000_000

        /** Exceeds the time that a process has for its shutdown. */
        val LONG_DEADLINE = listOf("Deadline-Ms" to "12000")

        /** Timeout of the route of orders, in ms. */
        const val ORDER_TIMEOUT_MS = 2_000L
        const val SLACK_MS = 1_000L

        /** The platform counts requests on open connections up to this long after the signal. */
        const val LATE_MS = 3_000L

        /** Times within which the platform requires changes to take effect, in ms. */
        const val CONFIG_PROPAGATION_MS = 2_000L
        const val DRAIN_PROPAGATION_MS = 2_000L
        const val CONFIG_RECOVERY_MS = 5_000L

        /** Exceeds the timeout of a call to the store, in ms. */
        const val OUTAGE_MS = 2_200L
    }
}
