package cowslipcart.wire.datagram

import cowslipcart.core.model.HostId
import cowslipcart.core.model.IncarnationId
import cowslipcart.core.model.LogOffset
import cowslipcart.core.model.PoolId
import cowslipcart.core.model.VersionId
import cowslipcart.core.rollout.AnswerCounts
import cowslipcart.core.rollout.CohortId
import cowslipcart.core.rollout.EvidenceKey
import cowslipcart.core.rollout.RolloutNotice
import cowslipcart.core.rollout.RolloutOrder
import cowslipcart.core.rollout.RolloutRecord
import cowslipcart.core.rollout.RolloutStep
import cowslipcart.core.rollout.StoredRollout
import cowslipcart.core.rollout.Tally
import cowslipcart.core.routing.RouteId
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import org.junit.jupiter.api.Nested

/** Guards against lost evidence and against datagrams that crash the receiver. */
class RolloutNoticeCodecTest {
    private val order = RolloutOrder(PoolId("p"), VersionId("v2"), 60_000, LogOffset(5))
    private val steps = listOf(
        RolloutStep.Observing,
        RolloutStep.Shifting(25),
        RolloutStep.Moved,
        RolloutStep.Complete,
        RolloutStep.RolledBack
    )

    private fun notice(step: RolloutStep?, cohort: CohortId = CohortId(7)) = RolloutNotice(
        HostId("h"),
        IncarnationId(7),
        order,
        orderAgeMs = 4_000,
        stored = step?.let {
            val from = setOf(VersionId("v0"), VersionId("v1"))
            StoredRollout(
                RolloutRecord(order.offset, order.pool, order.to, from, it, 99, HostId("w")),
                LogOffset(3)
            )
        },
        knownAgeMs = 200,
        earlierRunning = 2,
        stopReason = "told".takeIf { step == RolloutStep.Moved },
        totals = mapOf(
            EvidenceKey(RouteId("r"), CohortId.EARLIER) to AnswerCounts(Tally(9, 1)),
            EvidenceKey(RouteId("r"), cohort) to
                AnswerCounts(Tally(9, 1), Tally(8, 8), Tally(3, 0))
        )
    )

    private fun decode(notice: RolloutNotice) =
        DatagramCodec.decode(DatagramCodec.encode(PeerDatagram.Rollout(notice)))

    @Nested
    inner class RoundTrip {
        @Test
        fun `notices of all steps survive`() {
            for (step in steps + null) {
                val notice = notice(step)
                assertEquals(PeerDatagram.Rollout(notice), decode(notice).getOrNull())
            }
        }
    }

    @Nested
    inner class Malformed {
        /** Guards against a cohort that has no place in the sums of the receiver. */
        @Test
        fun `an unknown cohort is refused`() {
            assertTrue(decode(notice(null, CohortId(CohortId.COUNT))).isLeft())
        }

        @Test
        fun `changed and cut bytes crash nothing`() {
            val bytes = DatagramCodec.encode(PeerDatagram.Rollout(notice(RolloutStep.Moved)))
            val random = Random(1)
            repeat(2_000) {
                val changed = bytes.copyOf(random.nextInt(1, bytes.size + 1))
                changed[random.nextInt(changed.size)] = random.nextInt().toByte()
                DatagramCodec.decode(changed)
            }
        }
    }
}
