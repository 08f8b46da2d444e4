package cowslipcart.standins.engine

import cowslipcart.core.model.RequestId
import kotlin.test.Test
import kotlin.test.assertEquals
import org.junit.jupiter.api.Nested

internal class EngineJournalTest {
    private val id = RequestId("r1")
    private val journal = EngineJournal()

    @Nested
    inner class Cancel {
        /** Guards against a witness that forgets a stream that was preempted and resumed. */
        @Test
        fun `a resumed stream keeps the count of its cancellations`() {
            journal.start(id, nowMs = 1)
            journal.change(id, JournalOutcome.CANCELLED, nowMs = 2)
            journal.change(id, JournalOutcome.RUNNING, nowMs = 3)
            journal.change(id, JournalOutcome.FINISHED, nowMs = 4)
            val expected = EngineJournalEntry(id, 1, 4, JournalOutcome.FINISHED, cancelCount = 1)
            assertEquals(listOf(expected), journal.entries)
        }
    }
}
