package cowslipcart.daemon.endpoint

import cowslipcart.core.model.GrantId
import cowslipcart.core.model.RequestId
import cowslipcart.core.origin.StreamEnd
import cowslipcart.daemon.Metrics
import cowslipcart.daemon.control.RuntimeClock
import cowslipcart.daemon.sampleEndpoint
import io.ktor.client.HttpClient
import io.ktor.network.selector.SelectorManager
import io.ktor.server.cio.CIO
import io.ktor.server.engine.embeddedServer
import io.ktor.server.response.respondBytesWriter
import io.ktor.server.routing.post
import io.ktor.server.routing.routing
import io.ktor.utils.io.writeStringUtf8
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Nested

/** Guards against a silent endpoint that keeps a request open for ever. */
class ModelExchangeTest {
    @Nested
    inner class Silence {
        @Test
        fun `a stream that falls silent ends as broken`() = runBlocking {
            val engine = embeddedServer(CIO, port = 0, host = "127.0.0.1") {
                routing {
                    post("/v1/chat/completions") {
                        call.respondBytesWriter {
                            writeStringUtf8("data: {\"sequence\":0}\n\n")
                            flush()
                            awaitCancellation()
                        }
                    }
                }
            }.start()
            val port = engine.engine.resolvedConnectors().first().port

            val end = createHttpClient().use { run(it, port) }
            engine.stop(0, 100)

            assertIs<StreamEnd.Broken>(end)
            assertEquals("the endpoint was silent for 200 ms", end.detail)
        }
    }

    /** Guards against an exception that ends the session, whose caller then gets no answer. */
    @Nested
    inner class Malformed {
        private fun endOf(bytes: String): StreamEnd = OneAnswerEndpoint(bytes).use { endpoint ->
            runBlocking { createHttpClient().use { run(it, endpoint.port) } }
        }

        @Test
        fun `an answer that is no HTTP ends as broken`() {
            assertIs<StreamEnd.Broken>(endOf("no answer\r\n\r\n"))
            assertIs<StreamEnd.Broken>(endOf("HTTP/1.1 200 OK\r\nno header\r\n\r\n"))
        }

        @Test
        fun `an error that is shorter than its stated length ends as broken`() {
            val head = "HTTP/1.1 400 Bad Request\r\nContent-Length: 10\r\n\r\n"
            assertIs<StreamEnd.Broken>(endOf(head + "12345"))
        }
    }

    private suspend fun run(client: HttpClient, port: Int): StreamEnd =
        SelectorManager(Dispatchers.IO).use { run(client, it, port) }

    private suspend fun run(client: HttpClient, selector: SelectorManager, port: Int): StreamEnd {
        val context =
            EndpointContext(client, selector, RuntimeClock(), Metrics(), idleTimeoutMs = 200)
        val exchange =
            ModelExchange(context, RequestId("r"), "{}", AnswerWriter.Streamed(null), null, 1)
        return exchange.run(ExchangeStart(sampleEndpoint(port), GrantId("g"), isResume = false)) {}
    }
}
