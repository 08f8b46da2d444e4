package cowslipcart.daemon.http1

import cowslipcart.daemon.SocketAddressSetting
import cowslipcart.daemon.gateway.RespondingEndpoint
import io.ktor.network.selector.SelectorManager
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Nested

class HttpClientTest {
    /** Returns the size of a body of [sentBytes], or null if it was not received. */
    private fun receivedBytes(sentBytes: Int, statesLength: Boolean): Int? {
        val length = if (statesLength) "Content-Length: $sentBytes\r\n" else "X: y\r\n"
        val server = RespondingEndpoint {
            write("HTTP/1.1 200 OK\r\n$length\r\n".toByteArray())
            write(ByteArray(sentBytes))
            close()
        }
        return server.use {
            SelectorManager(Dispatchers.IO).use { selector ->
                val address = SocketAddressSetting("127.0.0.1", server.entry.port)
                runBlocking {
                    HttpClient(selector) { address }
                        .send("test", HttpRequest("GET", "/"), TIMEOUT_MS)?.body?.size
                }.also { if (it == null) assertTrue(server.awaitClosed(TIMEOUT_MS)) }
            }
        }
    }

    @Nested
    inner class LongBodies {
        @Test
        fun `the largest page of the store is received`() {
            for (statesLength in listOf(true, false)) {
                assertEquals(PAGE_BYTES, receivedBytes(PAGE_BYTES, statesLength))
            }
        }

        /** Guards against a response of the store that takes most of the heap. */
        @Test
        fun `a body far beyond a page of the store is given up`() {
            for (statesLength in listOf(true, false)) {
                assertNull(receivedBytes(FAR_BEYOND_BYTES, statesLength))
            }
        }
    }

    @Nested
    inner class SlowBodies {
        /** Sends a body of [count] pieces, of which [sentCount] are sent, [gapMs] apart. */
        private fun receivedPieces(count: Int, sentCount: Int, gapMs: Long): Int? {
            val server = RespondingEndpoint {
                write("HTTP/1.1 200 OK\r\nContent-Length: $count\r\n\r\n".toByteArray())
                repeat(sentCount) {
                    flush()
                    TimeUnit.MILLISECONDS.sleep(gapMs)
                    write(ByteArray(1))
                }
                flush()
                if (sentCount < count) TimeUnit.MILLISECONDS.sleep(TIMEOUT_MS)
            }
            return server.use {
                SelectorManager(Dispatchers.IO).use { selector ->
                    val address = SocketAddressSetting("127.0.0.1", server.entry.port)
                    runBlocking {
                        HttpClient(selector) { address }
                            .send("test", HttpRequest("GET", "/"), SHORT_TIMEOUT_MS)?.body?.size
                    }
                }
            }
        }

        /** Guards against reads of a large configuration that never end on a slow link. */
        @Test
        fun `a body that takes longer than the response is received`() {
            assertEquals(8, receivedPieces(8, 8, gapMs = 120))
        }

        @Test
        fun `a body that stops is given up`() {
            val startNs = System.nanoTime()
            assertNull(receivedPieces(8, 3, gapMs = 10))
            val tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNs)
            assertTrue(tookMs < TIMEOUT_MS, "found $tookMs ms")
        }
    }

    private companion object {
        /** Less than a slow body takes. */
        const val SHORT_TIMEOUT_MS = 600L
        const val TIMEOUT_MS = 5_000L

        /** A page holds 1 MB of records, which base64 and JSON lengthen by half at most. */
        const val PAGE_BYTES = 1_500_000
        const val FAR_BEYOND_BYTES = 6_000_000
    }
}
