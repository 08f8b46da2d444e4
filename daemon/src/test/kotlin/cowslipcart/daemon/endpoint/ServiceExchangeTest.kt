package cowslipcart.daemon.endpoint

import cowslipcart.core.model.GrantId
import cowslipcart.core.model.RequestId
import cowslipcart.core.origin.StreamEnd
import cowslipcart.daemon.Metrics
import cowslipcart.daemon.control.RuntimeClock
import cowslipcart.daemon.sampleEndpoint
import cowslipcart.daemon.session.CallerOutput
import io.ktor.client.HttpClient
import io.ktor.http.ContentType
import io.ktor.network.selector.SelectorManager
import java.net.ServerSocket
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Nested

/**
 * Guards against an answer of a plain service that is cut on its way and passed on, and kept under
 * its key, as if it were whole.
 */
class ServiceExchangeTest {
    private val written = mutableListOf<CallerOutput>()
    private var received = ""

    /** Returns the end of a call that gets [bytes] and then the end of its connection. */
    private fun endOf(bytes: String): StreamEnd = OneAnswerEndpoint(bytes).use { endpoint ->
        runBlocking { call(endpoint.port) }.also {
            endpoint.close()
            received = endpoint.received
        }
    }

    private suspend fun call(port: Int): StreamEnd = createHttpClient().use { client ->
        SelectorManager(Dispatchers.IO).use { call(client, it, port) }
    }

    private suspend fun call(client: HttpClient, selector: SelectorManager, port: Int): StreamEnd {
        val context =
            EndpointContext(client, selector, RuntimeClock(), Metrics(), idleTimeoutMs = 2_000)
        val body = "{\"frame\":7}".toByteArray()
        val call = ServiceCall("POST", "/sign-off?x=%20y", ContentType.Application.Json, body, "k")
        val start = ExchangeStart(sampleEndpoint(port), GrantId("g"), isResume = false)
        return ServiceExchange(context, RequestId("r"), call, null).run(start) { written += it }
    }

    private fun head(vararg headers: String) =
        (listOf("HTTP/1.1 201 Created") + headers).joinToString("\r\n", postfix = "\r\n\r\n")

    @Nested
    inner class Cut {
        private fun assertBroken(bytes: String) {
            assertIs<StreamEnd.Broken>(endOf(bytes), bytes)
            assertEquals(emptyList(), written, bytes)
        }

        @Test
        fun `an answer that is shorter than its stated length is broken`() {
            assertBroken(head("Content-Length: 10") + "12345")
            assertBroken(head("Content-Length: 10"))
        }

        @Test
        fun `chunks without the last one are broken`() {
            assertBroken(head("Transfer-Encoding: chunked") + "5\r\n12345\r\n")
            assertBroken(head("Transfer-Encoding: chunked") + "5\r\n123")
            assertBroken(head("Transfer-Encoding: chunked"))
        }

        @Test
        fun `a head that ends early is broken`() {
            assertBroken("HTTP/1.1 201 Created\r\nContent-Len")
            assertBroken("")
            assertBroken("no answer\r\n\r\n")
        }
    }

    @Nested
    inner class Whole {
        private fun assertPassedOn(bytes: String) {
            written.clear()
            assertIs<StreamEnd.Completed>(endOf(bytes), bytes)
            val head = assertIs<CallerOutput.Head>(written[0])
            assertEquals(201, head.status)
            assertEquals("12345", assertIs<CallerOutput.Body>(written[1]).bytes.decodeToString())
        }

        @Test
        fun `a whole answer is passed on in any framing`() {
            assertPassedOn(head("Content-Length: 5") + "12345")
            assertPassedOn(head("Transfer-Encoding: chunked") + "5\r\n12345\r\n0\r\n\r\n")
            assertPassedOn(head("Connection: close") + "12345")
        }

        @Test
        fun `the service gets the call as the caller sent it`() {
            endOf(head("Content-Length: 0"))

            assertTrue(received.startsWith("POST /sign-off?x=%20y HTTP/1.1\n"), received)
            for (line in listOf("X-Request-Id: r", "Idempotency-Key: k", "Content-Length: 11")) {
                assertTrue("$line\n" in received, received)
            }
            assertTrue("Content-Type: application/json\n" in received, received)
            assertTrue(received.endsWith("\n\n{\"frame\":7}"), received)
        }

        @Test
        fun `a refusal that proves that nothing ran is told apart`() {
            val refusal = "HTTP/1.1 503 Busy\r\nX-Not-Run: true\r\nContent-Length: 0\r\n\r\n"
            assertIs<StreamEnd.ProvenNotRun>(endOf(refusal))
        }
    }

    @Nested
    inner class Connection {
        @Test
        fun `a call that can't be sent is proven not to have run`() {
            val port = ServerSocket(0).use { it.localPort }
            assertIs<StreamEnd.ProvenNotRun>(runBlocking { call(port) })
        }
    }
}
