package cowslipcart.daemon.gateway

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.Job
import kotlinx.coroutines.async
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runCurrent
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Nested

/** Guards against a stream that two endpoints work on for long, or that both give up. */
@OptIn(ExperimentalCoroutinesApi::class)
class TakeoverTest {
    private val replaced = Job()
    private val isAnswered = CompletableDeferred<Boolean>()

    private fun takeover() = Takeover(replaced) { isAnswered.await() }

    @Nested
    inner class NotAccepted {
        /** Guards against silence of the other endpoint that is taken for its acceptance. */
        @Test
        fun `the silent endpoint goes on until the other one has accepted`() = runTest {
            val takeover = takeover()
            advanceTimeBy(10_000)
            assertFalse(replaced.isCompleted)

            backgroundScope.async { takeover.complete() }
            runCurrent()
            assertTrue(replaced.isCompleted)
            assertEquals(10_000, currentTime)
        }
    }

    @Nested
    inner class Accepted {
        @Test
        fun `events are forwarded after the other attempt has ended`() = runTest {
            val takeover = takeover()
            val completing = backgroundScope.async { takeover.complete() }
            runCurrent()
            assertTrue(replaced.isCompleted)
            assertFalse(completing.isCompleted)
            isAnswered.complete(false)
            runCurrent()

            assertTrue(completing.isCompleted)
        }

        /** Guards against events behind the end of a stream. */
        @Test
        fun `no event is forwarded if the other attempt has completed the stream`() = runTest {
            val takeover = takeover()
            isAnswered.complete(true)
            val completing = backgroundScope.async { takeover.complete() }
            advanceTimeBy(10_000)

            assertFalse(completing.isCompleted)
        }
    }
}
