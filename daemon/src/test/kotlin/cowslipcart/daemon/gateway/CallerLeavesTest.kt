package cowslipcart.daemon.gateway

import cowslipcart.core.forwarding.ForwardingInput
import java.io.IOException
import java.net.Socket
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue
import kotlinx.coroutines.asCoroutineDispatcher
import org.junit.jupiter.api.Nested

/** Tests on sockets of loopback what reaches an endpoint after a caller has closed. */
class CallerLeavesTest {
    private val resources = mutableListOf<AutoCloseable>()

    private fun <T : AutoCloseable> T.closedAfterwards(): T = also { resources += it }

    @AfterTest
    fun closeAll() = resources.reversed().forEach { it.close() }

    /** Waits for [condition] for at most [limitMs]; returns whether it came true. */
    private fun await(limitMs: Long, condition: () -> Boolean): Boolean {
        val endNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(limitMs)
        while (!condition()) {
            if (System.nanoTime() > endNs) return false
            Thread.sleep(POLL_MS)
        }
        return true
    }

    private fun msSince(startNs: Long, endNs: Long) = TimeUnit.NANOSECONDS.toMillis(endNs - startNs)

    @Nested
    inner class BeforeSending {
        /** Guards against a request that is sent because the host has not read its close yet. */
        @Test
        fun `a request is not sent once its close waits in the kernel`() {
            val endpoint = RawEndpoint().closedAfterwards()
            val fixture = SessionFixture(endpoint.port, DECISION_MS).closedAfterwards()
            val caller = fixture.sendRequest(bodyBytes = 10)
            assertTrue(await(SETUP_MS) { fixture.controller.inputs.isNotEmpty() })
            fixture.isReading = false
            caller.close()
            Thread.sleep(2 * DECISION_MS)
            val sentBytes = endpoint.connections.sumOf { it.byteCount }
            fixture.isReading = true

            assertTrue(await(LIMIT_MS) { fixture.controller.inputs.any(::isCallClosed) })
            assertEquals(0L, sentBytes, "bytes that reached the endpoint after the close")
        }

        /** Guards against a request that waits for its caller to be silent. */
        @Test
        fun `a request is sent although its caller has sent the next one`() {
            val endpoint = RawEndpoint().closedAfterwards()
            val fixture = SessionFixture(endpoint.port, DECISION_MS).closedAfterwards()
            val caller = fixture.sendRequest(bodyBytes = 10).closedAfterwards()
            assertTrue(await(SETUP_MS) { fixture.controller.inputs.isNotEmpty() })
            fixture.isReading = false
            caller.getOutputStream().write(ByteArray(10))
            Thread.sleep(2 * DECISION_MS)
            fixture.isReading = true

            assertTrue(await(LIMIT_MS) { endpoint.connections.any { it.byteCount > 0 } })
        }

        private fun isCallClosed(input: ForwardingInput) = input is ForwardingInput.CallClosed
    }

    @Nested
    inner class WhileSending {
        /** Guards against a request that an endpoint gets and runs after its caller has left. */
        @Test
        fun `the rest of a body does not reach an endpoint that stopped reading`() {
            val endpoint = RawEndpoint(silenceMs = 1_000).closedAfterwards()
            val fixture = SessionFixture(endpoint.port).closedAfterwards()
            val caller = fixture.sendRequest(BODY_BYTES)
            assertTrue(await(SETUP_MS) { endpoint.connections.isNotEmpty() })
            Thread.sleep(SENDING_MS)
            val closedAtNs = System.nanoTime()
            caller.close()

            val received = endpoint.connections.single()
            assertTrue(await(SETUP_MS) { received.endAtNs != null })
            val endMs = msSince(closedAtNs, assertNotNull(received.endAtNs))
            assertTrue(
                received.byteCount <= RECEIVED_BEFORE_CLOSE_BYTES,
                "${received.byteCount} bytes read after the close, end after $endMs ms"
            )
        }
    }

    @Nested
    inner class WhileRunning {
        private val sessionThread = Executors.newSingleThreadExecutor()

        /** Guards against work for a caller that left while this host is behind with its own. */
        @Test
        fun `the endpoint sees its connection closed ahead of other work of this host`() {
            resources += AutoCloseable { sessionThread.shutdown() }
            val endpoint = RawEndpoint().closedAfterwards()
            val dispatcher = sessionThread.asCoroutineDispatcher()
            val fixture = SessionFixture(endpoint.port, sessionDispatcher = dispatcher)
                .closedAfterwards()
            val caller = fixture.sendRequest(bodyBytes = 10)
            assertTrue(await(SETUP_MS) { endpoint.connections.any { it.byteCount > 0 } })
            val received = endpoint.connections.single()
            sessionThread.execute { Thread.sleep(BEHIND_MS) }
            val closedAtNs = System.nanoTime()
            caller.close()

            assertTrue(await(SETUP_MS) { received.endAtNs != null })
            val endMs = msSince(closedAtNs, assertNotNull(received.endAtNs))
            assertTrue(endMs <= LIMIT_MS, "closed $endMs ms after the caller")
        }

        @Test
        fun `the time from the close of a caller to the end of its work is measured`() {
            val endpoint = RawEndpoint().closedAfterwards()
            val fixture = SessionFixture(endpoint.port).closedAfterwards()
            val caller = fixture.sendRequest(bodyBytes = 10)
            assertTrue(await(SETUP_MS) { endpoint.connections.any { it.byteCount > 0 } })
            caller.close()

            val line = "cowslipcart_gateway_caller_gone_seconds_count 1"
            assertTrue(await(SETUP_MS) { line in fixture.metrics.render().decodeToString() })
        }
    }

    @Nested
    inner class Pipelining {
        /** Guards against a caller that is no longer watched since it sent too much. */
        @Test
        fun `the close of a caller that sends on without waiting is noticed`() {
            val endpoint = RawEndpoint().closedAfterwards()
            val fixture = SessionFixture(endpoint.port).closedAfterwards()
            val caller = fixture.sendRequest(bodyBytes = 10)
            assertTrue(await(SETUP_MS) { endpoint.connections.any { it.byteCount > 0 } })
            thread(isDaemon = true) { sendQuietly(caller, ByteArray(PIPELINED_BYTES)) }
            Thread.sleep(SENDING_MS)
            val closedAtNs = System.nanoTime()
            caller.close()

            val received = endpoint.connections.single()
            assertTrue(await(SETUP_MS) { received.endAtNs != null }, "never closed")
            val endMs = msSince(closedAtNs, assertNotNull(received.endAtNs))
            assertTrue(endMs <= LIMIT_MS, "closed $endMs ms after the caller")
        }

        /** Guards against a request that is read from the middle of another one. */
        @Test
        fun `nothing is run after pipelined bytes were discarded`() {
            val response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
            val endpoint = RawEndpoint(response = response, responseMs = SENDING_MS)
                .closedAfterwards()
            val fixture = SessionFixture(endpoint.port).closedAfterwards()
            val caller = fixture.sendRequest(bodyBytes = 0).closedAfterwards()
            val next = "GET /x HTTP/1.1\r\nHost: gateway\r\n\r\n".toByteArray()
            repeat(PIPELINED_COUNT) { caller.getOutputStream().write(next) }

            caller.soTimeout = SETUP_MS.toInt()
            val text = caller.getInputStream().readAllBytes().decodeToString()
            assertTrue("Connection: close" in text, text)
            val arrivals = fixture.controller.inputs.count { it is ForwardingInput.Arrived }
            assertEquals(1, arrivals)
        }

        private fun sendQuietly(caller: Socket, bytes: ByteArray) = try {
            caller.getOutputStream().write(bytes)
        } catch (_: IOException) {
            // The caller has closed.
        }
    }

    private companion object {
        const val POLL_MS = 5L
        const val SETUP_MS = 5_000L
        const val DECISION_MS = 300L
        const val SENDING_MS = 200L

        /** Time after a caller's close within which its endpoint has to see its own. */
        const val LIMIT_MS = 500L
        const val BEHIND_MS = 2_000L
        const val PIPELINED_BYTES = 4_000_000
        const val PIPELINED_COUNT = 4_000
        const val BODY_BYTES = 1_000_000

        /** Bound on what the endpoint's receive buffer held when the caller closed. */
        const val RECEIVED_BEFORE_CLOSE_BYTES = 65_536L
    }
}
