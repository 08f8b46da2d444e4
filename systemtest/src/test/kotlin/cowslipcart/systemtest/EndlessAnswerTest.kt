package cowslipcart.systemtest

import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Nested

/**
 * Guards against a gateway that keeps the bytes that a faulty runner sends without end, and ends
 * for want of memory with the requests of all other callers. The gateway has the heap of its
 * deployment.
 */
class EndlessAnswerTest {
    private val cluster = GatewayCluster()
    private val runners = mutableListOf<EndlessRunner>()

    @AfterTest
    fun stop() {
        cluster.close()
        runners.forEach { it.close() }
    }

    /** Expects that requests to a sound runner are answered while a faulty one sends [repeated]. */
    private fun assertOthersAreServed(start: String, repeated: String): Unit =
        runBlocking(Dispatchers.IO) {
            val faulty = EndlessRunner(start, repeated).also { runners += it }
            cluster.startRunner("desk-1", "desk")
            cluster.register("model-1", faulty.address, "model", "ready", slots = CONCURRENT)
            cluster.publish()
            val gateway = cluster.startGateway("gateway", jvmOptions = deployedJvmOptions())
            gateway.awaitReady()
            val callers = (1..CONCURRENT).map { caller ->
                async { repeat(ROUNDS) { sendToFaulty(gateway, "/chat/$caller-$it") } }
            }
            var servedCount = 0
            while (callers.any { it.isActive }) {
                val order = gateway.send("/order/${++servedCount}")
                assertEquals(200, order.status, "order $servedCount; ${gateway.process.outputText}")
                delay(GAP_MS)
            }
            callers.awaitAll()
            assertTrue(gateway.process.isAlive, gateway.process.outputText)
            assertTrue(servedCount > 0)
        }

    /** Sends a request whose answer may be broken off. */
    private suspend fun sendToFaulty(gateway: GatewayHandle, path: String) {
        try {
            gateway.send(path, headers = CHAT)
        } catch (_: IllegalStateException) {
            return
        }
    }

    @Nested
    inner class Heads {
        @Test
        fun `endless header lines`() = assertOthersAreServed("HTTP/1.1 200 OK\r\n", "X: a\r\n")

        @Test
        fun `bytes that are no answer`() = assertOthersAreServed("", "x")
    }

    @Nested
    inner class Bodies {
        @Test
        fun `a body without a length`() = assertOthersAreServed("$SIGNED\r\n", "x")

        @Test
        fun `a long body with a length`() =
            assertOthersAreServed("${SIGNED}Content-Length: 99999999999\r\n\r\n", "x")

        @Test
        fun `an event without an end`() =
            assertOthersAreServed("${SIGNED}Content-Type: text/event-stream\r\n\r\n", "data: x\n")
    }

    private companion object {
        const val SIGNED = "HTTP/1.1 200 OK\r\nAttempt-Id: ID\r\nResponse-Seal: seal\r\n"
        const val CONCURRENT = 48
        const val ROUNDS = 2
        const val GAP_MS = 20L
        val CHAT =
            listOf("Token-Count" to "600,80", "Model" to "m", "Prompt-Prefix" to "a1:600")
    }
}
