package cowslipcart.daemon.gateway

import cowslipcart.core.model.HostId
import cowslipcart.daemon.Metrics
import cowslipcart.daemon.peer.PeerConnection
import io.ktor.network.selector.SelectorManager
import java.lang.management.ManagementFactory
import java.util.concurrent.TimeUnit
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertTrue
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.cancel
import org.junit.jupiter.api.Nested

/**
 * Guards against a thread that is busy for as long as a peer takes nothing: the few threads of a
 * gateway serve all callers, and two such peers stopped it, with its readiness check.
 */
class SilentPeerTest {
    private val resources = mutableListOf<AutoCloseable>()
    private val threads = ManagementFactory.getThreadMXBean()

    private fun <T : AutoCloseable> T.closedAfterwards(): T = also { resources += it }

    @AfterTest
    fun closeAll() = resources.reversed().forEach { it.close() }

    /** Returns the processor time of all threads, in ms. */
    private fun cpuMs(): Long = threads.allThreadIds.sumOf {
        TimeUnit.NANOSECONDS.toMillis(threads.getThreadCpuTime(it).coerceAtLeast(0))
    }

    private fun assertIdle() {
        Thread.sleep(SETTLE_MS)
        val beforeMs = cpuMs()
        Thread.sleep(STALL_MS)
        val usedMs = cpuMs() - beforeMs
        assertTrue(usedMs < STALL_MS / 2, "found $usedMs ms of processor time in $STALL_MS ms")
    }

    @Nested
    inner class Endpoint {
        @Test
        fun `the rest of a request waits without a busy thread`() {
            val endpoint = RawEndpoint(silenceMs = SILENCE_MS).closedAfterwards()
            val fixture = SessionFixture(endpoint.port).closedAfterwards()
            fixture.sendRequest(LARGE_BYTES).closedAfterwards()

            assertIdle()
        }
    }

    @Nested
    inner class Caller {
        @Test
        fun `the rest of a response waits without a busy thread`() {
            val response = "HTTP/1.1 200 OK\r\nContent-Length: $LARGE_BYTES\r\n\r\n" +
                "x".repeat(LARGE_BYTES)
            val endpoint = RawEndpoint(response = response).closedAfterwards()
            val fixture = SessionFixture(endpoint.port).closedAfterwards()
            fixture.sendRequest(bodyBytes = 0).closedAfterwards()

            assertIdle()
        }
    }

    @Nested
    inner class OtherHost {
        /** Frames wait in a bounded queue of their own. */
        @Test
        fun `messages to another host wait without a busy thread`() {
            val host = SilentHost().closedAfterwards()
            val selector = SelectorManager(Dispatchers.IO).closedAfterwards()
            val scope = CoroutineScope(Dispatchers.IO)
            resources += AutoCloseable { scope.cancel() }
            val connection =
                PeerConnection(HostId("h"), host.address, host.handshake, selector, Metrics())
            connection.start(scope)
            repeat(FRAME_COUNT) { connection.send(ByteArray(LARGE_BYTES / FRAME_COUNT)) }

            assertIdle()
        }
    }

    private companion object {
        /** Exceeds what the kernel holds for a peer that reads nothing. */
        const val LARGE_BYTES = 7_900_000
        const val FRAME_COUNT = 100
        const val SILENCE_MS = 10_000L
        const val SETTLE_MS = 1_500L
        const val STALL_MS = 1_000L
    }
}
