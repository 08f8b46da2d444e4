package cowslipcart.daemon.gateway

import cowslipcart.daemon.control.RuntimeClock
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Clock
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.ExperimentalTime
import kotlin.time.Instant
import kotlin.time.TestTimeSource
import org.junit.jupiter.api.Nested

/** Guards against a host that takes old knowledge for fresh, since its clock stood still. */
@OptIn(ExperimentalTime::class)
class SuspensionDetectorTest {
    private val monotonic = TestTimeSource()
    private var wallMs = 1_000_000L
    private val wall = object : Clock {
        override fun now(): Instant = Instant.fromEpochMilliseconds(wallMs)
    }
    private val detector = SuspensionDetector(RuntimeClock(monotonic, wall))

    private fun pass(ms: Long) {
        monotonic += ms.milliseconds
        wallMs += ms
    }

    @Nested
    inner class Detection {
        @Test
        fun `time that only the wall clock counts is a suspension`() {
            pass(500)
            wallMs += 4_000
            assertEquals(4_000, detector.takeSuspendedMs())
            assertEquals(0, detector.takeSuspendedMs())
        }

        @Test
        fun `time that both clocks count is none`() {
            repeat(50) {
                pass(5_000)
                assertEquals(0, detector.takeSuspendedMs())
            }
        }

        @Test
        fun `a wall clock that is set back is none, and neither is its drift`() {
            wallMs -= 2_000
            assertEquals(0, detector.takeSuspendedMs())
            wallMs += 100
            assertEquals(0, detector.takeSuspendedMs())
        }
    }
}
