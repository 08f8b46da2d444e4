package cowslipcart.systemtest

import java.net.InetAddress
import java.net.ServerSocket
import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Nested

/**
 * Guards against a caller of the tests that takes a cut answer for a whole one: an answered sign-off
 * without the hash of its content was seen in runs that kill a daemon.
 */
class WholeAnswerCallerTest {
    /** Returns the answer to a request that gets [bytes] and then the end of its connection. */
    private fun answerOf(bytes: String): HttpAnswer? =
        ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { server ->
            thread {
                server.accept().use { socket ->
                    val input = socket.getInputStream().bufferedReader()
                    while (!input.readLine().isNullOrEmpty()) Unit
                    socket.getOutputStream().write(bytes.toByteArray())
                }
            }
            val request = HttpRequestData("http://127.0.0.1:${server.localPort}/", "GET")
            runBlocking { WholeAnswerCaller.trySend(request, timeoutMs = 5_000) }
        }

    private fun head(vararg headers: String) =
        (listOf("HTTP/1.1 201 Created") + headers).joinToString("\r\n", postfix = "\r\n\r\n")

    @Nested
    inner class Cut {
        @Test
        fun `an answer that is shorter than its stated length is none`() {
            assertNull(answerOf(head("Content-Length: 10") + "12345"))
            assertNull(answerOf(head("Content-Length: 10")))
        }

        @Test
        fun `chunks without the last one are no answer`() {
            assertNull(answerOf(head("Transfer-Encoding: chunked") + "5\r\n12345\r\n"))
            assertNull(answerOf(head("Transfer-Encoding: chunked") + "5\r\n123"))
            assertNull(answerOf(head("Transfer-Encoding: chunked")))
        }
    }

    @Nested
    inner class Whole {
        @Test
        fun `an answer of its stated length is whole`() {
            assertEquals("12345", answerOf(head("Content-Length: 5") + "12345")?.body)
            assertEquals("", answerOf(head("Content-Length: 0"))?.body)
        }

        @Test
        fun `chunks with the last one are whole`() {
            val body = "5\r\n12345\r\n0\r\n\r\n"
            assertEquals("12345", answerOf(head("Transfer-Encoding: chunked") + body)?.body)
        }
    }
}
