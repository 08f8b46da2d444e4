package cowslipcart.core.claims

import cowslipcart.core.log.LogError
import cowslipcart.core.model.HostId
import cowslipcart.core.model.LogOffset
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import org.junit.jupiter.api.Nested

class ClaimBatcherTest {
    private val batcher = createClaimBatcher(partition = 3)
    private val requester = HostId("requester")
    private val claim = claimOf("a1")

    private fun claim(claim: ClaimItem.Claim, nowMs: Long) = batcher.claim(claim, requester, nowMs)

    private fun read(vararg records: ClaimRecord, nowMs: Long) = batcher.onRecords(
        records.toList(),
        LogOffset(0),
        LogOffset(records.lastOrNull()?.offset?.next()?.value ?: 0),
        nowMs
    )

    private fun appends(effects: List<BatcherEffect>) =
        effects.filterIsInstance<BatcherEffect.Append>()

    private fun reads(effects: List<BatcherEffect>) = effects.filterIsInstance<BatcherEffect.Read>()

    private fun verdicts(effects: List<BatcherEffect>) =
        effects.filterIsInstance<BatcherEffect.Reply>().map { it.verdict }

    /** Claims [count] keys at 0 ms, reports an empty stream and returns the first append. */
    private fun startBatch(count: Int = 1): BatcherEffect.Append {
        val effects = (1..count).flatMap { claim(claimOf("a$it", keyAt(NOW_MS, "k$it")), 0) }
        read(nowMs = 1)
        return appends(effects + batcher.tick(25)).single()
    }

    /** Guards against one append per claim and against more appends than the log can take. */
    @Nested
    inner class Batches {
        @Test
        fun `a claim waits 25 ms for others`() {
            assertEquals(emptyList(), appends(claim(claim, 0) + batcher.tick(24)))
            assertEquals(listOf(claim), appends(batcher.tick(25)).single().items)
        }

        @Test
        fun `a batch holds 64 claims and the rest waits`() {
            assertEquals(64, startBatch(70).items.size)
        }

        @Test
        fun `only one append is in flight`() {
            val sent = startBatch()
            claim(claimOf("b", keyAt(NOW_MS, "b")), 26)
            assertEquals(emptyList(), appends(batcher.tick(500)))
            assertEquals(1, appends(batcher.onAppended(sent.batchId, LogOffset(0), 501)).size)
        }

        @Test
        fun `appends are 25 ms apart and hold 64 claims also under load`() {
            val sent = startBatch(200)
            assertEquals(emptyList(), appends(batcher.onAppended(sent.batchId, LogOffset(0), 24)))
            assertEquals(64, appends(batcher.tick(25)).single().items.size)
        }

        @Test
        fun `a claim that is released before its append is not appended`() {
            claim(claim, 0)
            batcher.enqueue(releaseOf(claim), 1)
            assertEquals(listOf(releaseOf(claim)), appends(batcher.tick(26)).single().items)
        }
    }

    /** Guards against a verdict before the claim itself was read from the log. */
    @Nested
    inner class Answers {
        @Test
        fun `the acknowledgement alone gives no verdict`() {
            val sent = startBatch()
            val effects = batcher.onAppended(sent.batchId, LogOffset(0), 35)
            assertEquals(emptyList(), verdicts(effects))
            assertEquals(LogOffset(0), reads(effects).single().from)
        }

        @Test
        fun `a claim of another batcher that is first in the log wins`() {
            val other = claimOf("other", keyAt(NOW_MS, "k1"))
            val sent = startBatch()
            batcher.onAppended(sent.batchId, LogOffset(1), 35)
            val effects = read(
                recordAt(0, other),
                recordAt(1, *sent.items.toTypedArray()),
                nowMs = 40
            )
            assertEquals(listOf(heldBy(other)), verdicts(effects))
        }

        @Test
        fun `reads until the offset of its own append`() {
            val sent = startBatch()
            batcher.onAppended(sent.batchId, LogOffset(1), 35)
            val effects = read(recordAt(0), nowMs = 40)
            assertEquals(emptyList(), verdicts(effects))
            assertEquals(LogOffset(1), reads(effects).single().from)
        }

        @Test
        fun `a repeated attempt is answered again and not appended again`() {
            val sent = startBatch()
            batcher.onAppended(sent.batchId, LogOffset(0), 35)
            read(recordAt(0, *sent.items.toTypedArray()), nowMs = 40)
            val effects = claim(sent.items.single() as ClaimItem.Claim, 50) + batcher.tick(100)
            assertEquals(listOf(ClaimVerdict.Won), verdicts(effects))
            assertEquals(emptyList(), appends(effects))
        }

        @Test
        fun `a page that does not continue the stream is not applied`() {
            startBatch()
            val effects = batcher.onRecords(
                listOf(recordAt(4, claim)),
                LogOffset(0),
                LogOffset(5),
                nowMs = 30
            )
            assertEquals(emptyList(), verdicts(effects))
        }
    }

    /** Guards against a wrong verdict, a lost claim and excessive retries when the log fails. */
    @Nested
    inner class Failures {
        private val lost = LogError.Unknown("timeout")
        private val down = LogError.Unavailable("refused")

        @Test
        fun `a lost acknowledgement is resolved by reading`() {
            val sent = startBatch()
            assertEquals(1, reads(batcher.onAppendFailed(sent.batchId, lost, 35)).size)
            val effects = read(recordAt(0, *sent.items.toTypedArray()), nowMs = 40)
            assertEquals(listOf(ClaimVerdict.Won), verdicts(effects))
            assertEquals(emptyList(), appends(batcher.tick(1_000)))
        }

        @Test
        fun `a batch that is not in the log is appended again after a delay`() {
            val sent = startBatch()
            batcher.onAppendFailed(sent.batchId, lost, 35)
            assertEquals(emptyList(), appends(read(nowMs = 40) + batcher.tick(134)))
            assertEquals(sent.items, appends(batcher.tick(135)).single().items)
        }

        @Test
        fun `releases are kept until they are in the log`() {
            batcher.enqueue(releaseOf(claim), 0)
            val first = appends(batcher.tick(25)).single()
            batcher.onAppendFailed(first.batchId, down, 30)
            val second = appends(batcher.tick(5_000)).single()
            assertEquals(listOf(releaseOf(claim)), second.items)
        }

        @Test
        fun `a claim times out after 2 s and is not appended again`() {
            val sent = startBatch()
            batcher.onAppendFailed(sent.batchId, lost, 1_950)
            assertEquals(emptyList(), verdicts(batcher.tick(1_999)))
            assertIs<ClaimVerdict.Undecided>(verdicts(batcher.tick(2_000)).single())
            assertEquals(emptyList(), appends(batcher.tick(9_000)))
        }

        @Test
        fun `retries back off to one a second`() {
            batcher.enqueue(releaseOf(claim), 0)
            val sentAtMs = ArrayList<Long>()
            for (nowMs in 0L..10_000L step 5) {
                appends(batcher.tick(nowMs)).forEach {
                    sentAtMs += nowMs
                    batcher.onAppendFailed(it.batchId, down, nowMs)
                }
            }
            assertTrue(sentAtMs.size in 10..14, "expected 10 to 14 appends, found $sentAtMs")
        }

        @Test
        fun `claims are undecided at once while the log is down and accepted when it is back`() {
            val sent = startBatch()
            batcher.onAppendFailed(sent.batchId, down, 30)
            batcher.onAppendFailed(appends(batcher.tick(130)).single().batchId, down, 140)
            val third = appends(batcher.tick(400)).single()
            val refused = batcher.onAppendFailed(third.batchId, down, 410)
            val next = claim(claimOf("b"), 420)
            read(nowMs = 430)

            assertIs<ClaimVerdict.Undecided>(verdicts(refused).single())
            assertEquals(
                1,
                reads(refused).size,
                "expected one read that probes the log without a new claim"
            )
            assertIs<ClaimVerdict.Undecided>(verdicts(next).single())
            assertEquals(emptyList(), verdicts(claim(claimOf("c"), 440)))
        }

        @Test
        fun `a claim beyond the limit is undecided at once`() {
            val small = createClaimBatcher(0, BatcherSettings(maxPendingClaims = 1))
            small.claim(claimOf("a1"), requester, 0)
            val effects = small.claim(claimOf("a2"), requester, 0)
            assertIs<ClaimVerdict.Undecided>(verdicts(effects).single())
        }

        @Test
        fun `a claim whose earlier records were trimmed has expired`() {
            val sent = startBatch()
            batcher.onAppended(sent.batchId, LogOffset(9), 35)
            val record = recordAt(9, *sent.items.toTypedArray())
            val effects = batcher.onRecords(listOf(record), LogOffset(9), LogOffset(10), 40)
            assertEquals(listOf(ClaimVerdict.Expired), verdicts(effects))
        }
    }
}
