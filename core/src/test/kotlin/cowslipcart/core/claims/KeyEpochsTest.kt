package cowslipcart.core.claims

import cowslipcart.core.model.LogOffset
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNull
import kotlin.test.assertTrue
import org.junit.jupiter.api.Nested

class KeyEpochsTest {
    private val epochs = createKeyEpochs()
    private val a = originOf("a")
    private val b = originOf("b")
    private val firstEpoch = EpochEntry.Epoch(1, listOf(a), NOW_MS, NOW_MS + MINUTE_MS)
    private val nextEpoch =
        EpochEntry.Epoch(2, listOf(b), NOW_MS + MINUTE_MS, NOW_MS + 2 * MINUTE_MS)

    private fun KeyEpochs.apply(offset: LogOffset, entry: EpochEntry?, atMs: Long = NOW_MS) =
        apply(EpochRecord(offset, atMs, entry))

    private fun KeyEpochs.applyAll(vararg entries: EpochEntry?) =
        entries.forEach { apply(nextOffset, it) }

    private fun KeyEpochs.ownerAt(afterMs: Long) = ownerOf(keyAt(NOW_MS + afterMs))

    /** Guards against two owners of one key. */
    @Nested
    inner class Validity {
        @Test
        fun `the first of two concurrent epochs is valid`() {
            epochs.applyAll(firstEpoch, nextEpoch, nextEpoch.copy(hosts = listOf(a)))
            assertEquals(KeyOwner.Known(b), epochs.ownerAt(MINUTE_MS))
            assertEquals(KeyOwner.Known(a), epochs.ownerAt(MINUTE_MS - 1))
        }

        @Test
        fun `an epoch with a wrong number or start is invalid`() {
            epochs.applyAll(
                firstEpoch,
                nextEpoch.copy(number = 3),
                nextEpoch.copy(fromKeyTimeMs = NOW_MS + MINUTE_MS - 1),
                nextEpoch.copy(hosts = emptyList())
            )
            assertEquals(KeyOwner.NotYetCovered, epochs.ownerAt(MINUTE_MS))
        }

        @Test
        fun `the first epoch has number 1`() {
            epochs.applyAll(nextEpoch)
            assertEquals(KeyOwner.NotYetCovered, epochs.ownerAt(MINUTE_MS))
        }

        @Test
        fun `an extension applies to the last epoch only and never shortens it`() {
            epochs.applyAll(
                firstEpoch,
                EpochEntry.ExtendEpoch(1, NOW_MS + 1),
                EpochEntry.ExtendEpoch(2, NOW_MS + 9 * MINUTE_MS)
            )
            assertEquals(KeyOwner.Known(a), epochs.ownerAt(MINUTE_MS - 1))
            assertEquals(KeyOwner.NotYetCovered, epochs.ownerAt(MINUTE_MS))
        }

        @Test
        fun `an extension makes an epoch that starts at the previous end invalid`() {
            epochs.applyAll(
                firstEpoch,
                EpochEntry.ExtendEpoch(1, NOW_MS + 3 * MINUTE_MS),
                nextEpoch
            )
            assertEquals(KeyOwner.Known(a), epochs.ownerAt(2 * MINUTE_MS))
        }

        @Test
        fun `key times before the first epoch have no owner`() {
            epochs.apply(LogOffset(0), firstEpoch, atMs = NOW_MS + 60 * MINUTE_MS)
            assertEquals(KeyOwner.BeforeHistory, epochs.ownerAt(-1))
        }
    }

    /** Guards against an invalid epoch that is accepted because the valid one was trimmed. */
    @Nested
    inner class Trimmed {
        private val checkpoint = EpochEntry.Checkpoint(LogOffset(6), listOf(firstEpoch))

        @Test
        fun `the first epoch after a gap is not accepted`() {
            epochs.apply(LogOffset(5), firstEpoch)
            assertEquals(KeyOwner.NotYetCovered, epochs.ownerAt(0))
            assertNull(epochs.proposeEntry(listOf(a), NOW_MS))
        }

        @Test
        fun `a checkpoint directly after its offset restores the epochs`() {
            epochs.apply(LogOffset(7), checkpoint)
            epochs.applyAll(nextEpoch)
            assertEquals(KeyOwner.Known(a), epochs.ownerAt(0))
            assertEquals(KeyOwner.Known(b), epochs.ownerAt(MINUTE_MS))
        }

        @Test
        fun `a checkpoint after another record is invalid`() {
            epochs.apply(LogOffset(8), checkpoint)
            assertEquals(KeyOwner.NotYetCovered, epochs.ownerAt(0))
        }

        @Test
        fun `epochs known before a gap stay valid`() {
            epochs.applyAll(firstEpoch)
            epochs.apply(LogOffset(9), nextEpoch)
            assertEquals(KeyOwner.Known(a), epochs.ownerAt(0))
            assertEquals(KeyOwner.NotYetCovered, epochs.ownerAt(MINUTE_MS))
        }
    }

    /** Guards against a record that blocks the stream until the next checkpoint. */
    @Test
    fun `a record that no version can read is ignored`() {
        epochs.applyAll(firstEpoch, null, nextEpoch)
        assertEquals(KeyOwner.Known(b), epochs.ownerAt(MINUTE_MS))
    }

    /** Guards against an epoch so long that its owners, once dead, block keys for hours. */
    @Nested
    inner class FastClock {
        private val farMs = NOW_MS + 120 * MINUTE_MS

        @Test
        fun `an epoch ends at most 5 min after its record`() {
            epochs.applyAll(firstEpoch.copy(untilKeyTimeMs = farMs))
            assertEquals(KeyOwner.Known(a), epochs.ownerAt(5 * MINUTE_MS - 1))
            assertEquals(KeyOwner.NotYetCovered, epochs.ownerAt(5 * MINUTE_MS))
        }

        @Test
        fun `an extension ends at most 5 min after its record`() {
            epochs.applyAll(firstEpoch)
            epochs.apply(LogOffset(1), EpochEntry.ExtendEpoch(1, farMs), NOW_MS + MINUTE_MS)
            assertEquals(KeyOwner.Known(a), epochs.ownerAt(6 * MINUTE_MS - 1))
            assertEquals(KeyOwner.NotYetCovered, epochs.ownerAt(6 * MINUTE_MS))
        }

        @Test
        fun `the next epoch starts at the limited end of the last one`() {
            epochs.applyAll(firstEpoch.copy(untilKeyTimeMs = farMs))
            val entry = epochs.proposeEntry(listOf(b), NOW_MS + 5 * MINUTE_MS)
            assertEquals(
                EpochEntry.Epoch(
                    2,
                    listOf(b),
                    NOW_MS + 5 * MINUTE_MS,
                    NOW_MS + 7 * MINUTE_MS
                ),
                entry
            )
        }

        @Test
        fun `the first epoch covers the last hour of log time`() {
            epochs.applyAll(firstEpoch.copy(fromKeyTimeMs = farMs, untilKeyTimeMs = 2 * farMs))
            assertEquals(KeyOwner.Known(a), epochs.ownerAt(-60 * MINUTE_MS))
            assertEquals(KeyOwner.BeforeHistory, epochs.ownerAt(-60 * MINUTE_MS - 1))
        }

        @Test
        fun `a checkpoint is proposed even if the end is always due for renewal`() {
            val fastMs = NOW_MS + 60 * MINUTE_MS
            epochs.applyAll(firstEpoch)
            val entries = List(100) { count ->
                val entry = epochs.proposeEntry(listOf(a), fastMs + count)
                epochs.apply(epochs.nextOffset, entry, NOW_MS + count)
                entry
            }
            assertTrue(entries.any { it is EpochEntry.Checkpoint }, "expected a checkpoint")
            assertTrue(entries.last() is EpochEntry.ExtendEpoch, "expected an extension")
        }
    }

    /** Guards against key times without an owner and against needless records. */
    @Nested
    inner class ProposeEntry {
        private fun propose(live: List<ProcessId>, nowMs: Long) =
            epochs.proposeEntry(live, nowMs)?.also { epochs.applyAll(it) }

        @Test
        fun `the first epoch covers the last hour and 120 s ahead`() {
            val entry = assertIs<EpochEntry.Epoch>(propose(listOf(b, a), NOW_MS))
            assertEquals(
                EpochEntry.Epoch(1, listOf(a, b), NOW_MS - 3_600_000, NOW_MS + 120_000),
                entry
            )
        }

        @Test
        fun `the end is renewed when it is less than 60 s ahead`() {
            propose(listOf(a), NOW_MS)
            assertNull(propose(listOf(a), NOW_MS + 60_000))
            val entry = propose(listOf(a), NOW_MS + 60_001)
            assertEquals(EpochEntry.ExtendEpoch(1, NOW_MS + 180_001), entry)
        }

        @Test
        fun `a restarted host starts an epoch at the end of the last one`() {
            propose(listOf(a), NOW_MS)
            val restarted = originOf("a", incarnation = 2)
            val entry = propose(listOf(restarted), NOW_MS + 60_001)
            val expected =
                EpochEntry.Epoch(2, listOf(restarted), NOW_MS + 120_000, NOW_MS + 180_001)
            assertEquals(expected, entry)
        }

        @Test
        fun `a checkpoint is due after 32 records and a new reader continues from it`() {
            propose(listOf(a), NOW_MS)
            repeat(30) { epochs.applyAll(firstEpoch) }
            assertNull(epochs.proposeEntry(listOf(a), NOW_MS))
            epochs.applyAll(firstEpoch)
            val checkpoint = assertIs<EpochEntry.Checkpoint>(propose(listOf(a), NOW_MS))
            assertNull(epochs.proposeEntry(listOf(a), NOW_MS))

            val reader = createKeyEpochs()
            reader.apply(LogOffset(32), checkpoint)
            assertEquals(KeyOwner.Known(a), reader.ownerAt(0))
        }
    }
}
