package cowslipcart.daemon.gateway

import cowslipcart.core.forwarding.ForwardingInput
import cowslipcart.core.intake.IntakeLimits
import java.io.IOException
import java.net.Socket
import java.util.concurrent.TimeUnit
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import org.junit.jupiter.api.Nested

/** Tests on sockets of loopback what callers get that ask too much of a host. */
class CallerLimitsTest {
    private val resources = mutableListOf<AutoCloseable>()
    private val endpoint = RawEndpoint(response = ANSWER).closedAfterwards()

    private fun <T : AutoCloseable> T.closedAfterwards(): T = also { resources += it }

    @AfterTest
    fun closeAll() = resources.reversed().forEach { it.close() }

    private fun fixture(change: (IntakeLimits) -> IntakeLimits): SessionFixture =
        SessionFixture(endpoint.port, limits = change(LIMITS)).closedAfterwards()

    /** Connects a caller that announces [bodyBytes] and sends [sentBytes] of them. */
    private fun SessionFixture.send(bodyBytes: Int, sentBytes: Int): Socket =
        Socket(SessionFixture.LOOPBACK, port).closedAfterwards().also { socket ->
            socket.soTimeout = LIMIT_MS.toInt()
            val head = "POST /x HTTP/1.1\r\nHost: gateway\r\nContent-Length: $bodyBytes\r\n\r\n"
            socket.getOutputStream().write(head.toByteArray() + ByteArray(sentBytes))
        }

    /** Reads to the end of the connection, also if that is a reset. */
    private fun Socket.readAll(): String {
        val text = StringBuilder()
        try {
            while (true) {
                val byte = getInputStream().read()
                if (byte < 0) break
                text.append(byte.toChar())
            }
        } catch (e: IOException) {
            text.append(" -- $e")
        }
        return text.toString()
    }

    private fun await(condition: () -> Boolean) {
        val endNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(LIMIT_MS)
        while (!condition()) {
            assertTrue(System.nanoTime() < endNs, "expected the condition in time")
            Thread.sleep(POLL_MS)
        }
    }

    private fun SessionFixture.arrivalCount() =
        controller.inputs.count { it is ForwardingInput.Arrived }

    @Nested
    inner class WantOfRoom {
        /** Guards against a refusal that does not reach its caller, or promises nothing. */
        @Test
        fun `a body without room is refused with 503 while its caller sends on`() {
            val fixture = fixture { it.copy(maxWaitMs = 200) }
            val stalled = List(2) { fixture.send(HALF_BYTES + 1, HALF_BYTES) }
            // Otherwise the large one may be read and answered before them.
            await { fixture.heldBytes >= 2 * HALF_BYTES }
            val large = fixture.send(HALF_BYTES, HALF_BYTES)

            val texts = (stalled + large).map { it.readAll() }
            val refused = texts.filter { it.startsWith("HTTP/1.1 503") }
            assertTrue(refused.isNotEmpty(), "$texts")
            for (text in refused) {
                assertTrue("Retry-After: 0.500" in text && "Connection: close" in text, text)
                assertTrue("--" !in text, text)
            }
        }

        /** Guards against small requests that wait behind bodies without an end. */
        @Test
        fun `an ordinary request is answered beside bodies that stop short of their end`() {
            val fixture = fixture { it }
            repeat(8) { fixture.send(HALF_BYTES + 1, HALF_BYTES) }
            val ordinary = fixture.send(300, 300)

            val status = String(ordinary.getInputStream().readNBytes(STATUS_BYTES))
            assertEquals("HTTP/1.1 200", status)
        }

        @Test
        fun `a body over the limit is refused before it is sent`() {
            val fixture = fixture { it }

            assertTrue(fixture.send(9_000_000, 0).readAll().startsWith("HTTP/1.1 413"))
        }

        /** Guards against bytes that are read for ever after a refusal. */
        @Test
        fun `a refused caller may send on up to a bound`() {
            val fixture = fixture { it.copy(discardBytes = 100_000) }
            val caller = fixture.send(9_000_000, 0)
            var sentBytes = 0
            try {
                while (sentBytes < ENDLESS_BYTES) {
                    caller.getOutputStream().write(ByteArray(HALF_BYTES))
                    sentBytes += HALF_BYTES
                }
            } catch (_: IOException) {
                // The connection was closed.
            }
            assertTrue(sentBytes < ENDLESS_BYTES, "sent $sentBytes")
        }
    }

    @Nested
    inner class TooManyConnections {
        @Test
        fun `the connection that is idle for longest is closed`() {
            val fixture = fixture { it.copy(maxConnections = 2) }
            val idle = Socket(SessionFixture.LOOPBACK, fixture.port).closedAfterwards()
            val busy = fixture.send(300, 299)
            await { fixture.connectionCount == 2 }
            fixture.send(300, 300)

            idle.soTimeout = LIMIT_MS.toInt()
            assertEquals("", idle.readAll())
            busy.getOutputStream().write(1)
            await { fixture.arrivalCount() == 2 }
        }
    }

    private companion object {
        const val POLL_MS = 5L
        const val LIMIT_MS = 10_000L
        const val HALF_BYTES = 600_000
        const val ENDLESS_BYTES = 100_000_000
        const val STATUS_BYTES = 12
        const val ANSWER = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

        /** Room for two bodies of [HALF_BYTES] at most. */
        val LIMITS = IntakeLimits.of(heapBytes = 4_500_000)
    }
}
