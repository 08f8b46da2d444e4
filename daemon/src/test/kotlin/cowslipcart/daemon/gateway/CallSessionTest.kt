package cowslipcart.daemon.gateway

import cowslipcart.core.forwarding.CallCommand
import cowslipcart.core.forwarding.DecisionContext
import cowslipcart.core.forwarding.EndpointEntry
import cowslipcart.core.forwarding.ForwardedCall
import cowslipcart.core.forwarding.ForwardingEffect
import cowslipcart.core.forwarding.ForwardingInput
import cowslipcart.core.forwarding.RefusalReason
import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.PoolId
import cowslipcart.core.routing.WorkKind
import cowslipcart.daemon.control.RuntimeClock
import cowslipcart.daemon.gateway.ScriptedEndpoint.Companion.readRequest
import cowslipcart.daemon.http1.Header
import cowslipcart.daemon.http1.Headers
import cowslipcart.daemon.http1.RequestHead
import io.ktor.network.selector.SelectorManager
import io.ktor.utils.io.ByteChannel
import io.ktor.utils.io.readRemaining
import java.io.IOException
import java.util.concurrent.CancellationException
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.async
import kotlinx.coroutines.cancel
import kotlinx.coroutines.runBlocking
import kotlinx.io.readByteArray
import org.junit.jupiter.api.Nested

class CallSessionTest {
    /** Sends a request to [endpoint] once, and gives it up after that. */
    private class OneAttemptController(private val endpoint: EndpointEntry) : IdleController() {
        private lateinit var call: ForwardedCall
        private val context = DecisionContext(1, 1, 1, 1, 1, 0, 0, null)

        override fun handle(input: ForwardingInput, nowMs: Long): List<ForwardingEffect> {
            if (input is ForwardingInput.Arrived) call = input.call
            val command = when (input) {
                is ForwardingInput.Arrived -> CallCommand.Dispatch(endpoint, 1)
                is ForwardingInput.AttemptEnded -> CallCommand.GiveUp(RefusalReason.MAY_HAVE_RUN)
                else -> null
            }
            return listOfNotNull(command?.let { ForwardingEffect.Command(call, it, context) })
        }
    }

    /** Fails to encode a request with [failure]. */
    private class FailingHeaderCodec(private val failure: Exception) :
        HeaderCodec by BareHeaderCodec {
        override fun endpointHeaders(
            head: RequestHead,
            metadata: ForwardingMetadata
        ): List<Header> = throw failure
    }

    private val clock = RuntimeClock()
    private val selector = SelectorManager(Dispatchers.IO)
    private val loopScope = CoroutineScope(SupervisorJob())

    @AfterTest
    fun stop() {
        loopScope.cancel()
        selector.close()
    }

    /** Returns the response to a request that [failure] meets while it is sent. */
    private fun responseAfter(failure: Exception): String =
        ScriptedEndpoint({ it.readRequest(0) }).use { endpoint ->
            val entry = EndpointEntry(
                EndpointId("e"),
                PoolId("pool"),
                "127.0.0.1",
                endpoint.port,
                "a",
                1,
                false
            )
            val metrics = GatewayMetrics()
            val eventLog = GatewayEventLog(clock, metrics)
            val controller = OneAttemptController(entry)
            val loop = ForwardingLoop(controller, clock, eventLog, metrics) { _, _ -> }
            loop.start(loopScope)
            val connections = EndpointConnections(selector, clock) { 1 }
            val exchange = EndpointExchange(connections, FailingHeaderCodec(failure), clock)
            serve(SessionContext(loop, exchange, eventLog, metrics, clock) { false })
        }

    private fun serve(context: SessionContext): String = runBlocking(Dispatchers.IO) {
        val written = ByteChannel()
        val response = CallerResponse(written, isHeadRequest = false) { false }
        val request =
            BufferedRequest(RequestHead("POST", "/a/", Headers(emptyList())), ByteArray(0))
        val call = sampleCall(WorkKind.AtMostOnce, clock.nowMs())
        val received = async { written.readRemaining().readByteArray().decodeToString() }
        CallSession(context, call, request, response).serve(OpenCaller)
        written.flushAndClose()
        received.await()
    }

    /** Guards against requests whose connection closes without an answer or a log line. */
    @Nested
    inner class UnexpectedExceptions {
        @Test
        fun `a request that a fault of the program ends gets 502`() {
            val response = responseAfter(IllegalStateException("unexpected"))

            assertEquals("HTTP/1.1 502 Bad Gateway", response.lines().first())
        }

        @Test
        fun `a request whose connection to the endpoint is cancelled gets 502`() {
            val response = responseAfter(CancellationException("channel cancelled"))

            assertEquals("HTTP/1.1 502 Bad Gateway", response.lines().first())
        }

        /** Which exception closing the connection raises differs from run to run. */
        @Test
        fun `a request that can't be sent gets 502`() = repeat(REPETITIONS) {
            val response = responseAfter(IOException("not sent"))

            assertEquals("HTTP/1.1 502 Bad Gateway", response.lines().first())
        }
    }

    private companion object {
        const val REPETITIONS = 20
    }
}
