package cowslipcart.daemon.session

import cowslipcart.core.capacity.GrantEnd
import cowslipcart.core.capacity.GrantReport
import cowslipcart.core.host.HostInput
import cowslipcart.core.model.Fingerprint
import cowslipcart.core.model.GrantId
import cowslipcart.core.model.OrganisationId
import cowslipcart.core.model.PoolId
import cowslipcart.core.model.RequestId
import cowslipcart.core.model.ShardId
import cowslipcart.core.model.Tier
import cowslipcart.core.origin.CallerRequest
import cowslipcart.core.origin.StreamEnd
import cowslipcart.daemon.control.RuntimeClock
import cowslipcart.daemon.endpoint.Exchange
import cowslipcart.daemon.endpoint.ExchangeStart
import cowslipcart.daemon.sampleEndpoint
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TestTimeSource
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runCurrent
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Nested

/** Guards against a host that was paused and sends a request long after its dispatch decision. */
@OptIn(ExperimentalCoroutinesApi::class)
class RequestSessionTest {
    private val time = TestTimeSource()
    private val clock = RuntimeClock(time)
    private val inputs = mutableListOf<HostInput>()
    private val exchange = CountingExchange()
    private val session = RequestSession(request(), exchange, clock, inputs::add) {}

    @Nested
    inner class Dispatch {
        @Test
        fun `a dispatch within the delay limit is sent`() = runTest {
            dispatchAfter(pauseMs = 100)

            assertEquals(1, exchange.runCount)
        }

        @Test
        fun `a dispatch after a pause is reported as not run and not sent`() = runTest {
            dispatchAfter(pauseMs = 2_000)

            val end = inputs.filterIsInstance<HostInput.StreamEnded>().single().end
            assertIs<StreamEnd.ProvenNotRun>(end)
            assertEquals(0, exchange.runCount)
        }
    }

    private fun TestScope.dispatchAfter(pauseMs: Long) {
        session.start(backgroundScope)
        val decidedAtMs = clock.nowMs()
        time += pauseMs.milliseconds
        session.enqueue(
            SessionCommand.Dispatch(
                GrantId("g"),
                ShardId(PoolId("p"), 0),
                sampleEndpoint(port = 1),
                isResume = false,
                decidedAtMs
            )
        )
        runCurrent()
    }

    private class CountingExchange : Exchange {
        var runCount = 0
        override val receivedTokens = 0

        override suspend fun run(
            start: ExchangeStart,
            write: suspend (CallerOutput) -> Unit
        ): StreamEnd {
            runCount++
            val report = GrantReport(start.grantId, GrantEnd.COMPLETED, 0, 0, 0, null, 0)
            return StreamEnd.Completed(report, null)
        }

        override suspend fun interrupt() = Unit

        override suspend fun cancel() = Unit
    }

    private fun request() = CallerRequest(
        requestId = RequestId("r"),
        organisation = OrganisationId("o"),
        tier = Tier(0),
        pool = PoolId("p"),
        key = null,
        isIdempotent = true,
        isInterruptible = true,
        fingerprint = Fingerprint("f"),
        timeLeftMs = null,
        prefillTokens = 1,
        outputTokens = 1,
        prefixBlocks = emptyList()
    )
}
