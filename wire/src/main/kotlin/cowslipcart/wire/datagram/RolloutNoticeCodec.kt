@file:OptIn(ExperimentalSerializationApi::class)

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
import cowslipcart.wire.peer.completePeerCbor
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.CborArray

/**
 * Encodes notices of roll-outs as CBOR. [decode] throws a [SerializationException] for malformed
 * bytes.
 */
internal object RolloutNoticeCodec {
    // The codes of the steps are part of the protocol; those of shifting steps are their percents.
    private const val OBSERVING = 0
    private const val MOVED = 100
    private const val COMPLETE = 101
    private const val ROLLED_BACK = 102
    private val COHORTS = CohortId.EARLIER.value until CohortId.COUNT

    fun encode(notice: RolloutNotice): ByteArray =
        completePeerCbor.encodeToByteArray(NoticeDocument.serializer(), toDocument(notice))

    fun decode(bytes: ByteArray): RolloutNotice {
        val document = completePeerCbor.decodeFromByteArray(NoticeDocument.serializer(), bytes)
        val order = RolloutOrder(
            PoolId(document.pool),
            VersionId(document.to),
            document.durationMs,
            LogOffset(document.order)
        )
        return RolloutNotice(
            HostId(document.host),
            IncarnationId(document.incarnation),
            order,
            document.orderAgeMs,
            document.record?.let { toStored(it, order) },
            document.knownAgeMs,
            document.earlierRunning,
            document.stopReason,
            document.counts.associate { toKey(it) to toCounts(it.figures) }
        )
    }

    private fun toDocument(notice: RolloutNotice) = NoticeDocument(
        notice.host.value,
        notice.incarnation.value,
        notice.order.pool.value,
        notice.order.to.value,
        notice.order.durationMs,
        notice.order.offset.value,
        notice.orderAgeMs,
        notice.knownAgeMs,
        notice.earlierRunning,
        notice.stopReason,
        notice.stored?.let { toDocument(it) },
        notice.totals.map { (key, counts) ->
            CountsDocument(key.route.value, key.cohort.value, toFigures(counts))
        }
    )

    private fun toDocument(stored: StoredRollout) = RolloutRecordDocument(
        stored.offset.value,
        stored.record.from.map { it.value },
        codeOf(stored.record.step),
        stored.record.startedAtWallMs,
        stored.record.writer.value
    )

    private fun toStored(document: RolloutRecordDocument, order: RolloutOrder) = StoredRollout(
        RolloutRecord(
            order.offset,
            order.pool,
            order.to,
            document.from.map { VersionId(it) }.toSet(),
            stepOf(document.step),
            document.startedAtWallMs,
            HostId(document.writer)
        ),
        LogOffset(document.offset)
    )

    private fun codeOf(step: RolloutStep): Int = when (step) {
        RolloutStep.Observing -> OBSERVING
        is RolloutStep.Shifting -> step.percent
        RolloutStep.Moved -> MOVED
        RolloutStep.Complete -> COMPLETE
        RolloutStep.RolledBack -> ROLLED_BACK
    }

    private fun stepOf(code: Int): RolloutStep = when (code) {
        OBSERVING -> RolloutStep.Observing
        in OBSERVING + 1 until MOVED -> RolloutStep.Shifting(code)
        MOVED -> RolloutStep.Moved
        COMPLETE -> RolloutStep.Complete
        ROLLED_BACK -> RolloutStep.RolledBack
        else -> throw SerializationException("expected a step of a roll-out, found $code")
    }

    private fun toKey(document: CountsDocument): EvidenceKey {
        if (document.cohort !in COHORTS) {
            throw SerializationException("expected a cohort, found ${document.cohort}")
        }
        return EvidenceKey(RouteId(document.route), CohortId(document.cohort))
    }

    private fun toFigures(counts: AnswerCounts): List<Int> =
        listOf(counts.failures, counts.firstParts, counts.gaps).flatMap {
            listOf(it.judged, it.bad)
        }

    private fun toCounts(figures: List<Int>): AnswerCounts {
        val tallies = figures.chunked(2).map { pair -> Tally(pair.first(), pair.last()) }
        if (figures.size != FIGURE_COUNT || tallies.any { it.bad !in 0..it.judged }) {
            throw SerializationException("expected three tallies, found $figures")
        }
        val (failures, firstParts, gaps) = tallies
        return AnswerCounts(failures, firstParts, gaps)
    }

    private const val FIGURE_COUNT = 6
}

/** Array form of [RolloutNotice]. The order of the fields is part of the protocol. */
@Serializable
@CborArray
private class NoticeDocument(
    val host: String,
    val incarnation: Long,
    val pool: String,
    val to: String,
    val durationMs: Long,
    val order: Long,
    val orderAgeMs: Long,
    val knownAgeMs: Long,
    val earlierRunning: Int,
    val stopReason: String?,
    val record: RolloutRecordDocument?,
    val counts: List<CountsDocument>
)

@Serializable
@CborArray
private class RolloutRecordDocument(
    val offset: Long,
    val from: List<String>,
    val step: Int,
    val startedAtWallMs: Long,
    val writer: String
)

/** [figures] are the judged and the bad answers by failure, first part and gaps. */
@Serializable
@CborArray
private class CountsDocument(val route: String, val cohort: Int, val figures: List<Int>)
