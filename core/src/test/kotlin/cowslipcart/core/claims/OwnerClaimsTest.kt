package cowslipcart.core.claims

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import org.junit.jupiter.api.Nested

class OwnerClaimsTest {
    private val self = originOf("a")
    private val ownerClaims = createOwnerClaims(self)
    private val first = claimOf("a1")
    private val second = claimOf("a2")

    private fun epochsOf(owner: ProcessId): KeyEpochs = createKeyEpochs().apply {
        val untilMs = NOW_MS + 600 * MINUTE_MS
        val epoch = EpochEntry.Epoch(1, listOf(owner), NOW_MS - 600 * MINUTE_MS, untilMs)
        apply(EpochRecord(nextOffset, untilMs, epoch))
    }

    private fun claim(claim: ClaimItem.Claim, nowMs: Long = NOW_MS) =
        ownerClaims.claim(claim, epochsOf(self), nowMs)

    /** Guards against a decision by a process that is not the owner. */
    @Nested
    inner class Ownership {
        @Test
        fun `another host decides nothing`() {
            val verdict = ownerClaims.claim(first, epochsOf(originOf("b")), NOW_MS)
            assertIs<ClaimVerdict.Undecided>(verdict)
        }

        @Test
        fun `a restarted host decides nothing about keys of its previous process`() {
            val verdict = ownerClaims.claim(first, epochsOf(originOf("a", 2)), NOW_MS)
            assertIs<ClaimVerdict.Undecided>(verdict)
        }

        @Test
        fun `key times without an epoch are undecided or expired`() {
            val late = claimOf("a3", keyAt(NOW_MS + 700 * MINUTE_MS))
            val early = claimOf("a4", keyAt(NOW_MS - 700 * MINUTE_MS))
            assertIs<ClaimVerdict.Undecided>(claim(late))
            assertEquals(ClaimVerdict.Expired, claim(early))
        }
    }

    /** Guards against two winners, also after a release or a step of the clock. */
    @Nested
    inner class Decisions {
        @Test
        fun `the first claim wins and a repeat gets the same verdict`() {
            assertEquals(ClaimVerdict.Won, claim(first))
            assertEquals(heldBy(first), claim(second))
            assertEquals(ClaimVerdict.Won, claim(first))
        }

        @Test
        fun `a released attempt does not win again and the key is free`() {
            claim(first)
            ownerClaims.release(first.key, first.attempt)
            assertIs<ClaimVerdict.Undecided>(claim(first))
            assertEquals(ClaimVerdict.Won, claim(second))
        }

        @Test
        fun `a claim that arrives after its release does not win`() {
            ownerClaims.release(first.key, first.attempt)
            assertIs<ClaimVerdict.Undecided>(claim(first))
        }

        @Test
        fun `other content is a mismatch`() {
            claim(first)
            val other = claimOf("a2", content = "other")
            assertEquals(ClaimVerdict.ContentMismatch, claim(other))
        }

        @Test
        fun `keys beyond the time limits are rejected`() {
            val old = claimOf("a1", keyAt(NOW_MS - 60 * MINUTE_MS - 1))
            val ahead = claimOf("a2", keyAt(NOW_MS + 5 * MINUTE_MS + 1))
            assertEquals(ClaimVerdict.Expired, claim(old))
            assertEquals(ClaimVerdict.FromFuture, claim(ahead))
        }

        @Test
        fun `a dropped key is not decided again when the clock steps back`() {
            claim(first)
            claim(claimOf("b", keyAt(NOW_MS + 61 * MINUTE_MS, "b")), NOW_MS + 61 * MINUTE_MS)
            assertEquals(1, ownerClaims.size)
            assertEquals(ClaimVerdict.Expired, claim(second, NOW_MS))
        }
    }
}
