package cowslipcart.daemon.gateway

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Nested

@OptIn(ExperimentalCoroutinesApi::class)
class ChannelTimeoutTest {
    @Nested
    inner class Timeout {
        /** Guards against requests that the control thread never handles. */
        @Test
        fun `an element that arrives at the moment of the timeout is not lost`() = runTest {
            val channel = Channel<Int>(Channel.UNLIMITED)
            launch {
                delay(TIMEOUT_MS)
                channel.trySend(1)
            }
            val received = mutableListOf<Int?>()
            launch { repeat(2) { received += channel.receiveOrNull(TIMEOUT_MS) } }.join()

            assertEquals(listOf(1), received.filterNotNull())
        }

        @Test
        fun `nothing is returned when no element arrives in time`() = runTest {
            val channel = Channel<Int>(Channel.UNLIMITED)

            assertEquals(null, channel.receiveOrNull(TIMEOUT_MS))
            assertEquals(TIMEOUT_MS, currentTime)
        }

        @Test
        fun `an element that is already queued is returned at once`() = runTest {
            val channel = Channel<Int>(Channel.UNLIMITED).apply { trySend(1) }

            assertEquals(1, channel.receiveOrNull(TIMEOUT_MS))
            assertEquals(0, currentTime)
        }
    }

    private companion object {
        const val TIMEOUT_MS = 20L
    }
}
