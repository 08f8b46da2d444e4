package cowslipcart.systemtest.crowd

import cowslipcart.systemtest.GatewayCluster
import cowslipcart.systemtest.GatewayHandle
import cowslipcart.systemtest.HttpAnswer
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking

/** A gateway on [machine] with a sound runner. */
internal class CrowdFixture(private val machine: CrowdMachine = CrowdMachine.LOWERED) :
    AutoCloseable {
    val cluster = GatewayCluster()

    /** Starts the gateway. [prepare] may add runners. */
    suspend fun start(prepare: GatewayCluster.() -> Unit = {}): GatewayHandle {
        cluster.startRunner("desk-1", "desk")
        cluster.prepare()
        cluster.publish(
            routes = GatewayCluster.ROUTES.replace(ROUTE_TIMEOUT, LONG_ROUTE_TIMEOUT),
            maxBodyBytes = machine.bodyBytes
        )
        val gateway = cluster.startGateway(
            "gateway",
            jvmOptions = machine.jvmOptions(),
            limits = machine.limits
        )
        gateway.awaitReady()
        assertEquals(200, sendOrdinary(gateway).status)
        return gateway
    }

    /**
     * Expects that the gateway lives and stays within its machine while [scripts] are played, and
     * that it answers an ordinary request while their connections are open, and after they closed.
     */
    fun assertOutlives(scripts: List<CrowdScript>, prepare: GatewayCluster.() -> Unit = {}): Unit =
        runBlocking(Dispatchers.IO) {
            val gateway = start(prepare)
            ProcessUsage(gateway.process.pid).use { usage ->
                Crowd(gateway.frontPort, scripts).use { crowd ->
                    crowd.awaitSettled()
                    assertSound(gateway, usage)
                }
                assertSound(gateway, usage)
            }
        }

    private suspend fun assertSound(gateway: GatewayHandle, usage: ProcessUsage) {
        assertWithin(gateway, usage)
        val answer = try {
            sendOrdinary(gateway)
        } catch (e: IllegalStateException) {
            // The process may have ended meanwhile, which says more than the missing answer.
            assertWithin(gateway, usage)
            throw e
        }
        assertEquals(200, answer.status, gateway.process.outputText.takeLast(END))
        assertWithin(gateway, usage)
    }

    private fun assertWithin(gateway: GatewayHandle, usage: ProcessUsage) {
        usage.sample()
        val process = gateway.process
        assertTrue(
            process.isAlive,
            "expected the gateway to live, found that it ended with ${usage.peakResidentKb} KB " +
                "and ${usage.peakFds} descriptors:\n${process.outputText.takeLast(END)}"
        )
        assertAtMost(machine.memoryMb * KB_PER_MB, usage.peakResidentKb, "KB of resident memory")
        assertAtMost(machine.maxFds.toLong(), usage.peakFds.toLong(), "descriptors")
        assertAtMost(machine.maxSockets.toLong(), usage.peakSockets.toLong(), "sockets")
    }

    private fun assertAtMost(bound: Long, actual: Long, what: String) =
        assertTrue(actual <= bound, "expected at most $bound $what, found $actual")

    /** Sends an ordinary request, and again as long as the gateway promises not to run it. */
    private suspend fun sendOrdinary(gateway: GatewayHandle): HttpAnswer {
        var answer = gateway.send("/order/ordinary", headers = LONG_DEADLINE)
        repeat(MAX_REPEATS) {
            if (answer.status !in PROMISES) return answer
            delay(REPEAT_PAUSE_MS)
            answer = gateway.send("/order/ordinary", headers = LONG_DEADLINE)
        }
        return answer
    }

    override fun close() = cluster.close()

    private companion object {
        const val KB_PER_MB = 1_024L
        const val END = 2_000
        const val ROUTE_TIMEOUT = "\"timeoutMs\":2000"
        const val LONG_ROUTE_TIMEOUT = "\"timeoutMs\":30000"
        val LONG_DEADLINE = listOf("Deadline-Ms" to "30000")
        val PROMISES = setOf(429, 503)

        /** Covers the time limit for receiving a body, after which connections are free again. */
        const val MAX_REPEATS = 120
        const val REPEAT_PAUSE_MS = 500L
    }
}
