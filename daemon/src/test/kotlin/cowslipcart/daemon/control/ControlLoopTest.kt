package cowslipcart.daemon.control

import cowslipcart.core.host.HostController
import cowslipcart.core.host.HostEffect
import cowslipcart.core.host.HostInput
import java.util.concurrent.CountDownLatch
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TestTimeSource
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.cancel
import org.junit.jupiter.api.Nested

/**
 * Guards against effects that delay later decisions, are performed out of order, or lose the time
 * of their decision, from which a session detects that the host was paused.
 */
class ControlLoopTest {
    private val time = TestTimeSource()
    private val scope = CoroutineScope(Dispatchers.Default)
    private val handled = CountDownLatch(INPUT_COUNT)
    private val release = CountDownLatch(1)
    private val performed = LinkedBlockingQueue<Pair<Int, Long>>()

    /** Returns one effect for each input except ticks; the effect holds the number of the input. */
    private val controller = object : HostController {
        private var count = 0
        override val openRequestCount = 0

        override fun handle(input: HostInput, nowMs: Long): List<HostEffect> {
            if (input is HostInput.Tick) return emptyList()
            handled.countDown()
            return listOf(HostEffect.PublishReadiness(true, listOf("${count++}")))
        }
    }

    @AfterTest
    fun stop() = scope.cancel()

    @Nested
    inner class Effects {
        @Test
        fun `a slow effect does not delay the next decision`() {
            start { release.await() }

            assertTrue(handled.await(10, TimeUnit.SECONDS))
            release.countDown()
        }

        @Test
        fun `effects keep the order and the time of their decisions`() {
            start { release.await() }
            handled.await(10, TimeUnit.SECONDS)
            time += 700.milliseconds
            release.countDown()

            val expected = List(INPUT_COUNT) { it to 0L }
            assertEquals(expected, List(INPUT_COUNT) { performed.poll(10, TimeUnit.SECONDS) })
        }

        @Test
        fun `an exception from one effect does not prevent the next`() {
            start { number -> check(number != 0) { "expected to fail" } }

            assertEquals(1, performed.poll(10, TimeUnit.SECONDS)?.first)
        }
    }

    private fun start(perform: (Int) -> Unit) {
        val loop = ControlLoop(controller, RuntimeClock(time))
        loop.start(scope) { effect, decidedAtMs ->
            val number = (effect as HostEffect.PublishReadiness).missing.single().toInt()
            perform(number)
            performed += number to decidedAtMs
        }
        repeat(INPUT_COUNT) { loop.submit(HostInput.HostListFailed) }
    }

    private companion object {
        const val INPUT_COUNT = 3
    }
}
