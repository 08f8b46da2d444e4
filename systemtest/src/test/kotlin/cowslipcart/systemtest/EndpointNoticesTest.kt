package cowslipcart.systemtest

import cowslipcart.standins.platform.RunnerFault
import cowslipcart.standins.platform.RunnerServer
import cowslipcart.standins.platform.StoreFault
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Nested

/** Tests what runners say of themselves in their answers, on gateway processes. */
class EndpointNoticesTest {
    private val cluster = GatewayCluster()
    private lateinit var gateway: GatewayHandle

    @AfterTest
    fun stop() = cluster.close()

    private suspend fun start(count: Int): List<RunnerServer> {
        val runners = List(count) { cluster.startRunner("desk-$it", "desk") }
        cluster.publish()
        gateway = cluster.startGateway("gateway").also { it.awaitReady() }
        return runners
    }

    /** Sends requests until [runner] has answered one. */
    private suspend fun sendUntilRunBy(runner: RunnerServer) {
        val before = runner.runs.size
        repeat(MAX_REQUESTS) {
            if (runner.runs.size > before) return
            gateway.send("/read/$it", "GET", null)
        }
        error("expected a run at the runner within $MAX_REQUESTS requests, found none")
    }

    private suspend fun sendMany(): List<Int> =
        List(REQUEST_COUNT) { gateway.send("/read/$it", "GET", null).status }

    /** Guards against requests to a runner that has said that it leaves. */
    @Nested
    inner class Leaving {
        @Test
        fun `a runner that leaves by its answers gets nothing new`(): Unit = runBlocking {
            val (leaving) = start(2)
            leaving.isLeaving = true
            sendUntilRunBy(leaving)
            val runs = leaving.runs.size

            assertTrue(sendMany().all { it == 200 })
            assertEquals(runs, leaving.runs.size)
        }

        @Test
        fun `a record that says ready does not bring it back`(): Unit = runBlocking {
            val (leaving) = start(2)
            leaving.isLeaving = true
            sendUntilRunBy(leaving)
            val runs = leaving.runs.size
            cluster.register("desk-0", leaving, "desk")
            delay(RECORD_MS)

            assertTrue(sendMany().all { it == 200 })
            assertEquals(runs, leaving.runs.size)
        }

        @Test
        fun `the other hosts learn of it while the store is away`(): Unit = runBlocking {
            val (leaving) = start(2)
            val other = cluster.startGateway("gateway-2").also { it.awaitReady() }
            delay(HOSTS_MS)
            cluster.store.fault = StoreFault.Silent
            leaving.isLeaving = true
            sendUntilRunBy(leaving)
            delay(REPORT_MS)
            val runs = leaving.runs.size

            repeat(REQUEST_COUNT) { assertEquals(200, other.send("/read/$it", "GET", null).status) }
            assertEquals(runs, leaving.runs.size)
        }
    }

    /** Guards against requests to a runner that asked for none for a while. */
    @Nested
    inner class Backoff {
        @Test
        fun `a runner that asks for a backoff gets nothing until its end`(): Unit = runBlocking {
            val (busy, other) = start(2)
            synchronized(busy.faults) { busy.faults += RunnerFault.AsksBackoff("1.5") }
            var sent = 0
            while (busy.faults.isNotEmpty() && sent < MAX_REQUESTS) {
                gateway.send("/read/${sent++}", "GET", null)
            }
            assertTrue(sendMany().all { it == 200 })
            assertTrue(busy.runs.isEmpty())
            delay(BACKOFF_MS)

            sendUntilRunBy(busy)
            assertTrue(other.runs.isNotEmpty())
        }

        @Test
        fun `a value that can not be read changes nothing`(): Unit = runBlocking {
            val (odd) = start(1)
            for (value in listOf("soon", "-3", "NaN", "1e9", "Sat, 05 Dec 2026 12:00:00 GMT")) {
                synchronized(odd.faults) { odd.faults += RunnerFault.AsksBackoff(value) }
                gateway.send("/read/1", "GET", null)
                assertEquals(200, gateway.send("/read/2", "GET", null).status, value)
            }
        }
    }

    private companion object {
        const val MAX_REQUESTS = 60
        const val REQUEST_COUNT = 30

        /** A host reads a changed record within a second. */
        const val RECORD_MS = 1_500L

        /** Hosts that start together find each other by their second read of the table of hosts. */
        const val HOSTS_MS = 3_000L

        /** Several report intervals. */
        const val REPORT_MS = 700L

        /** The backoff that the runner asks for, and the time over which the return is spread. */
        const val BACKOFF_MS = 2_000L
    }
}
