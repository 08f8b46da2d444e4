package cowslipcart.daemon.gateway

import cowslipcart.core.forwarding.AttemptOutcome
import cowslipcart.core.forwarding.DeclineReason
import cowslipcart.daemon.gateway.ExchangeFixture.Companion.response
import java.io.OutputStream
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Nested

class ResponseOwnershipTest {
    private val full = AttemptOutcome.Declined(DeclineReason.FULL)

    private fun withEndpoint(
        respond: OutputStream.(ReceivedRequest) -> Unit,
        block: suspend ExchangeFixture.() -> Unit
    ): Unit = ExchangeFixture(respond = respond).use { runBlocking { it.block() } }

    @Nested
    inner class RepeatedResponses {
        /**
         * Guards against "not run" for a request that runs, when an earlier refusal is repeated.
         */
        @Test
        fun `a refusal without an id on a kept connection does not count as one`() = withEndpoint(
            { request -> write(response(503, request.id.takeIf { it == "r1" }, declined = true)) }
        ) {
            assertEquals(full, run("r1").outcome)
            assertIs<AttemptOutcome.Broken>(run("r2").outcome)
            assertEquals(listOf("r1", "r2"), endpoint.received)
        }

        /** Guards against the failure of another request that reaches a caller. */
        @Test
        fun `a failure without an id on a kept connection is not forwarded`() = withEndpoint(
            { request -> write(response(500, request.id.takeIf { it == "r1" }, "failed")) }
        ) {
            assertEquals(AttemptOutcome.Answered(isSuccess = false), run("r1").outcome)
            val second = run("r2")
            assertIs<AttemptOutcome.Broken>(second.outcome)
            assertEquals(null, second.response)
        }

        @Test
        fun `a refusal of an earlier request is skipped and the answer follows`() = withEndpoint(
            { request ->
                if (request.id == "r1") {
                    write(response(503, "r1", declined = true))
                } else {
                    write(response(503, "r1", declined = true))
                    write(response(200, request.id, "answer of ${request.id}"))
                }
            }
        ) {
            assertEquals(full, run("r1").outcome)
            val second = run("r2")
            assertEquals(AttemptOutcome.Answered(isSuccess = true), second.outcome)
            assertEquals("answer of r2", second.response?.body?.decodeToString())
        }

        /** Guards against the answer of the request before, sent again after the next one came. */
        @Test
        fun `a second copy of an earlier answer is skipped and the answer follows`() =
            withEndpoint({ request ->
                if (request.id != "r1") write(response(200, "r1", "answer of r1"))
                write(response(200, request.id, "answer of ${request.id}"))
            }) {
                repeat(3) {
                    val id = "r${it + 1}"
                    assertEquals("answer of $id", run(id).response?.body?.decodeToString())
                }
                assertEquals(listOf("r1", "r2", "r3"), endpoint.received)
            }

        /** Guards against the same copy, sent while the connection rests. */
        @Test
        fun `a connection on which a second copy arrived is not used again`() = withEndpoint(
            { request ->
                write(response(200, request.id, "answer of ${request.id}"))
                flush()
                write(response(200, request.id, "answer of ${request.id}"))
            }
        ) {
            repeat(3) {
                val id = "r${it + 1}"
                assertEquals("answer of $id", run(id).response?.body?.decodeToString())
                delay(SETTLE_MS)
            }
        }

        @Test
        fun `a refusal without an id after a response to another request does not count`() =
            withEndpoint({
                write(response(503, "r0", declined = true))
                write(response(503, null, declined = true))
            }) {
                assertIs<AttemptOutcome.Broken>(run("r1").outcome)
            }
    }

    @Nested
    inner class Refusals {
        @Test
        fun `a refusal that names the request counts on a kept connection`() = withEndpoint(
            { request -> write(response(503, request.id, declined = true)) }
        ) {
            repeat(3) { assertEquals(full, run("r$it").outcome) }
        }

        @Test
        fun `a refusal without an id counts on a new connection`() = withEndpoint(
            { write(response(503, null, declined = true)) }
        ) {
            assertEquals(full, run("r1").outcome)
        }
    }

    private companion object {
        /** Time in which bytes arrive on a connection that rests, in ms. */
        const val SETTLE_MS = 30L
    }
}
