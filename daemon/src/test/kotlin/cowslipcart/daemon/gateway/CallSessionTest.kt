package cowslipcart.daemon.gateway

import cowslipcart.core.forwarding.CallCommand
import cowslipcart.core.forwarding.DecisionContext
import cowslipcart.core.forwarding.EndpointEntry
import cowslipcart.core.forwarding.ForwardedCall
import cowslipcart.core.forwarding.ForwardingEffect
import cowslipcart.core.forwarding.ForwardingInput
import cowslipcart.core.forwarding.RefusalReason
import cowslipcart.core.routing.WorkKind
import cowslipcart.daemon.gateway.ScriptedEndpoint.Companion.readRequest
import cowslipcart.daemon.http1.Header
import cowslipcart.daemon.http1.RequestHead
import java.io.IOException
import java.util.concurrent.CancellationException
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
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

    private val harness = SessionHarness()

    @AfterTest
    fun stop() = harness.close()

    /** Returns the response to a request that [failure] meets while it is sent. */
    private fun responseAfter(failure: Exception): String =
        ScriptedEndpoint({ it.readRequest(0) }).use { endpoint ->
            val controller = OneAttemptController(endpoint.entry("e"))
            harness.response(WorkKind.AtMostOnce, controller, FailingHeaderCodec(failure))
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
