package cowslipcart.daemon.endpoint

import cowslipcart.daemon.control.RuntimeClock
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Nested

/** Guards against an idle timeout that never fires, or fires because the caller reads slowly. */
@OptIn(ExperimentalCoroutinesApi::class)
class IdleWatchTest {
    @Nested
    inner class Silence {
        @Test
        fun `the timeout counts from the last event`() = runTest {
            val watch = watch()
            backgroundScope.launch {
                repeat(3) { watch.await { delay(70) } }
                watch.await { awaitCancellation() }
            }
            watch.awaitSilence()

            assertEquals(310, currentTime)
        }

        @Test
        fun `time between two reads does not count`() = runTest {
            val watch = watch()
            backgroundScope.launch {
                watch.await { delay(50) }
                delay(1_000)
                watch.await { awaitCancellation() }
            }
            val timeout = backgroundScope.launch { watch.awaitSilence() }
            delay(1_140)
            assertFalse(watch.isSilent)
            timeout.join()

            assertEquals(1_150, currentTime)
        }
    }

    private fun TestScope.watch() =
        IdleWatch(RuntimeClock(testScheduler.timeSource), timeoutMs = 100)
}
