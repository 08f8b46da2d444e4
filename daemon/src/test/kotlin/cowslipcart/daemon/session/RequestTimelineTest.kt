package cowslipcart.daemon.session

import cowslipcart.daemon.control.RuntimeClock
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TestTimeSource
import org.junit.jupiter.api.Nested

/** Guards against stage durations that do not add up to the time to the first byte. */
class RequestTimelineTest {
    private val time = TestTimeSource()
    private val timeline = RequestTimeline(RuntimeClock(time))
    private val seconds = mutableListOf<Double>()

    @Nested
    inner class Stages {
        @Test
        fun `each stage is measured from the end of the previous one`() {
            RequestStage.entries.forEach { endAfter(10 * (it.ordinal + 1), it) }
            timeline.observeStages { _, value -> seconds += value }

            assertEquals(listOf(0.01, 0.02, 0.03, 0.04, 0.05), seconds)
        }

        @Test
        fun `a second end of a stage is ignored`() {
            RequestStage.entries.forEach { endAfter(10, it) }
            endAfter(1_000, RequestStage.DECIDE)
            timeline.observeStages { _, value -> seconds += value }

            assertEquals(List(RequestStage.entries.size) { 0.01 }, seconds)
        }

        @Test
        fun `a request without a dispatch is not observed`() {
            endAfter(10, RequestStage.PREPARE)
            timeline.observeStages { _, value -> seconds += value }

            assertEquals(emptyList(), seconds)
        }
    }

    private fun endAfter(ms: Int, stage: RequestStage) {
        time += ms.milliseconds
        timeline.end(stage)
    }
}
