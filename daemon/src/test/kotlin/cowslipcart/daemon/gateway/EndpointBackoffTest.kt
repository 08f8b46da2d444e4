package cowslipcart.daemon.gateway

import cowslipcart.core.forwarding.AttemptOutcome
import cowslipcart.daemon.http1.ResponseHead
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Nested

/**
 * Guards against requests that were decided on before an endpoint asked for a backoff, and reach it
 * long after.
 */
class EndpointBackoffTest {
    /** Every status 503 asks for a backoff of [durationMs]. */
    private class BackoffCodec(private val durationMs: Long) : HeaderCodec by TestHeaderCodec {
        override fun decodeResponse(head: ResponseHead): ResponseMetadata {
            val metadata = TestHeaderCodec.decodeResponse(head)
            if (head.status != UNAVAILABLE) return metadata
            return metadata.copy(backoff = BackoffRequest.For(durationMs))
        }
    }

    /** A caller whose connection is found open only after [isConfirmed]. */
    private class LateCaller(private val isConfirmed: CompletableDeferred<Unit>) :
        CallerMonitor by OpenCaller {
        override suspend fun confirmOpen() = isConfirmed.await()
    }

    private var fixture: ExchangeFixture? = null

    @AfterTest
    fun stop() {
        fixture?.close()
    }

    /** Starts an attempt, lets another one be refused, and returns the outcome of the first. */
    private fun outcomeAfterRefusal(durationMs: Long): AttemptOutcome {
        val exchange = ExchangeFixture(BackoffCodec(durationMs)) { request ->
            val isRefused = request.id == "refused"
            val status = if (isRefused) UNAVAILABLE else OK
            write(ExchangeFixture.response(status, request.id, "x", declined = isRefused))
        }.also { fixture = it }
        return runBlocking(Dispatchers.IO) {
            val isConfirmed = CompletableDeferred<Unit>()
            val pending = async(start = CoroutineStart.UNDISPATCHED) {
                exchange.run("pending", monitor = LateCaller(isConfirmed))
            }
            assertIs<AttemptOutcome.Declined>(exchange.run("refused").outcome)
            isConfirmed.complete(Unit)
            pending.await().outcome
        }
    }

    @Nested
    inner class AttemptUnderWay {
        @Test
        fun `is withheld if the endpoint has asked for a backoff meanwhile`() {
            assertEquals(AttemptOutcome.Withheld, outcomeAfterRefusal(LONG_MS))
            assertEquals(listOf("refused"), fixture?.endpoint?.received?.toList())
        }

        @Test
        fun `is sent once the backoff is over`() {
            assertIs<AttemptOutcome.Answered>(outcomeAfterRefusal(0))
        }
    }

    private companion object {
        const val OK = 200
        const val UNAVAILABLE = 503
        const val LONG_MS = 60_000L
    }
}
