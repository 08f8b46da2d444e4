package cowslipcart.core.claims

import cowslipcart.core.model.AttemptId
import cowslipcart.core.model.LogOffset
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNull
import org.junit.jupiter.api.Nested

class ClaimReplicaTest {
    private val replica = createClaimReplica()
    private val first = claimOf("a1")
    private val second = claimOf("a2")

    private fun apply(vararg items: ClaimItem, atMs: Long = NOW_MS): List<ClaimVerdict> =
        replica.apply(recordAt(replica.nextOffset.value, *items, atMs = atMs)).map { it.verdict }

    /** Guards against two winners of a key and against verdicts that change. */
    @Nested
    inner class Order {
        @Test
        fun `the first claim wins and the second gets the holder`() {
            assertEquals(listOf(ClaimVerdict.Won, heldBy(first)), apply(first, second))
        }

        @Test
        fun `a second copy changes nothing`() {
            apply(first, second)
            assertEquals(listOf(heldBy(first), ClaimVerdict.Won), apply(second, first))
        }

        @Test
        fun `a record is applied once`() {
            apply(first)
            assertEquals(emptyList(), replica.apply(recordAt(0, second)))
            assertNull(replica.verdictOf(second.key, second.attempt))
        }

        @Test
        fun `a later attempt gets the recorded answer`() {
            val outcome = outcomeOf(first)
            assertEquals(heldBy(first, outcome.answer), apply(first, outcome, second).last())
        }

        @Test
        fun `an outcome of an attempt that lost is ignored`() {
            apply(first, second, outcomeOf(second))
            assertEquals(listOf(heldBy(first)), apply(claimOf("a3")))
        }

        @Test
        fun `other content is a mismatch, also after a release`() {
            val other = claimOf("a2", content = "other")
            val verdicts = apply(first, releaseOf(first), other)
            assertEquals(ClaimVerdict.ContentMismatch, verdicts.last())
        }
    }

    /** Guards against a released attempt that runs and against a key that stays held. */
    @Nested
    inner class Release {
        @Test
        fun `the next claim after a release wins`() {
            assertEquals(ClaimVerdict.Won, apply(first, releaseOf(first), second).last())
        }

        @Test
        fun `a delayed copy of a released claim does not win`() {
            val verdicts = apply(first, releaseOf(first), first)
            assertIs<ClaimVerdict.Undecided>(verdicts.last())
            assertEquals(listOf(ClaimVerdict.Won), apply(second))
        }

        @Test
        fun `a claim that is appended after its release does not win`() {
            assertIs<ClaimVerdict.Undecided>(apply(releaseOf(first), first).single())
        }

        @Test
        fun `an attempt that lost stays lost after the release of the winner`() {
            apply(first, second, releaseOf(first))
            assertEquals(listOf(heldBy(first), ClaimVerdict.Won), apply(second, claimOf("a3")))
        }

        @Test
        fun `the release of an attempt that lost does not free the key`() {
            assertEquals(
                heldBy(first),
                apply(first, second, releaseOf(second), claimOf("a3")).last()
            )
        }

        @Test
        fun `an attempt with a recorded answer cannot be released`() {
            val outcome = outcomeOf(first)
            val verdicts = apply(first, outcome, releaseOf(first), second)
            assertEquals(heldBy(first, outcome.answer), verdicts.last())
        }
    }

    /** Guards against a second run of a key whose first claim is no longer known. */
    @Nested
    inner class KeyTime {
        @Test
        fun `keys of exactly 1 h and of 5 min ahead are valid`() {
            val old = claimOf("a1", keyAt(NOW_MS - 60 * MINUTE_MS, "old"))
            val ahead = claimOf("a2", keyAt(NOW_MS + 5 * MINUTE_MS, "ahead"))
            assertEquals(listOf(ClaimVerdict.Won, ClaimVerdict.Won), apply(old, ahead))
        }

        @Test
        fun `keys beyond the time limits are rejected`() {
            val old = claimOf("a1", keyAt(NOW_MS - 60 * MINUTE_MS - 1, "old"))
            val ahead = claimOf("a2", keyAt(NOW_MS + 5 * MINUTE_MS + 1, "ahead"))
            assertEquals(listOf(ClaimVerdict.Expired, ClaimVerdict.FromFuture), apply(old, ahead))
        }

        @Test
        fun `keys are dropped when no later claim of them can be valid`() {
            apply(first, atMs = NOW_MS)
            apply(atMs = NOW_MS + 60 * MINUTE_MS)
            assertEquals(1, replica.size)
            assertEquals(listOf(ClaimVerdict.Expired), apply(second, atMs = NOW_MS + 3_600_001))
            assertEquals(0, replica.size)
        }
    }

    /** Guards against a verdict without the records that retention has removed. */
    @Nested
    inner class Trimmed {
        private fun verdictAfterTrim(keyTimeMs: Long, firstKeptAtMs: Long): ClaimVerdict {
            replica.skipTo(LogOffset(7))
            apply(atMs = firstKeptAtMs)
            return apply(claimOf("a1", keyAt(keyTimeMs)), atMs = NOW_MS).single()
        }

        @Test
        fun `a key is decided if all its claims come after the removed records`() {
            val keptAtMs = NOW_MS - 5 * MINUTE_MS - 1
            assertEquals(ClaimVerdict.Won, verdictAfterTrim(NOW_MS, keptAtMs))
        }

        @Test
        fun `a key has expired if a removed record of equal time could hold its claim`() {
            val keptAtMs = NOW_MS - 5 * MINUTE_MS
            assertEquals(ClaimVerdict.Expired, verdictAfterTrim(NOW_MS, keptAtMs))
        }

        @Test
        fun `a key has expired in the first kept record`() {
            replica.skipTo(LogOffset(7))
            assertEquals(listOf(ClaimVerdict.Expired), apply(first))
        }

        @Test
        fun `65 min of kept records are enough to decide every valid key`() {
            val oldest = NOW_MS - 60 * MINUTE_MS
            assertEquals(ClaimVerdict.Won, verdictAfterTrim(oldest, NOW_MS - 65 * MINUTE_MS - 1))
        }

        @Test
        fun `a gap discards the claims before it`() {
            apply(first)
            val verdicts = replica.apply(recordAt(5, second))
            val expected = AttemptVerdict(AttemptId("a2"), ClaimVerdict.Expired)
            assertEquals(listOf(expected), verdicts)
            assertNull(replica.verdictOf(first.key, first.attempt))
        }
    }
}
