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
        /** Guards against a journal that loses the cancellation of a stream that was resumed. */
        @Test
        fun `a resumed stream keeps the count of its cancellations`() {
            journal.recordStart(id, nowMs = 1)
            journal.recordOutcome(id, JournalOutcome.CANCELLED, nowMs = 2)
            journal.recordOutcome(id, JournalOutcome.RUNNING, nowMs = 3)
            journal.recordOutcome(id, JournalOutcome.FINISHED, nowMs = 4)
            val expected = EngineJournalEntry(id, 1, 4, JournalOutcome.FINISHED, cancelCount = 1)
            assertEquals(listOf(expected), journal.entries)
        }
    }
}
