package cowslipcart.standins.hop

import cowslipcart.standins.load.LoadOutcome
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.HdrHistogram.Histogram

/** Median and 99th percentile; null without samples. */
@Serializable
internal data class QuantilesJson(val p50: Double?, val p99: Double?) {
    /** Returns these figures divided by [base]. */
    fun dividedBy(base: QuantilesJson) = QuantilesJson(ratio(p50, base.p50), ratio(p99, base.p99))

    private fun ratio(value: Double?, base: Double?) =
        if (value == null || base == null || base == 0.0) null else value / base
}

/** Figures of one path; times in milliseconds. */
@Serializable
internal data class PathFiguresJson(
    val answered: Int,
    val failed: Int,
    @SerialName("first_token_ms") val firstTokenMs: QuantilesJson,
    @SerialName("answer_ms") val answerMs: QuantilesJson
)

/** Figures of one number of streams; a ratio is the daemon's figure divided by the direct one. */
@Serializable
internal data class LevelFiguresJson(
    val streams: Int,
    val direct: PathFiguresJson,
    val daemon: PathFiguresJson,
    @SerialName("first_token_ratio") val firstTokenRatio: QuantilesJson,
    @SerialName("answer_ratio") val answerRatio: QuantilesJson
)

/** Collects the outcomes of one path. An answer with a fault counts as failed. */
internal class PathStatistics {
    private val firstTokenUs = Histogram(SIGNIFICANT_DIGITS)
    private val answerUs = Histogram(SIGNIFICANT_DIGITS)
    private var failedCount = 0

    fun add(outcome: LoadOutcome) {
        val answer = outcome as? LoadOutcome.Answered
        val firstUs = answer?.firstTokenUs
        if (answer == null || firstUs == null || answer.fault != null) {
            failedCount++
        } else {
            firstTokenUs.recordValue(firstUs)
            answerUs.recordValue(answer.totalUs)
        }
    }

    fun figures() = PathFiguresJson(
        answerUs.totalCount.toInt(),
        failedCount,
        firstTokenUs.quantiles(),
        answerUs.quantiles()
    )

    private fun Histogram.quantiles(): QuantilesJson = if (totalCount == 0L) {
        QuantilesJson(null, null)
    } else {
        QuantilesJson(
            getValueAtPercentile(50.0) / US_PER_MS,
            getValueAtPercentile(99.0) / US_PER_MS
        )
    }

    private companion object {
        const val SIGNIFICANT_DIGITS = 3
        const val US_PER_MS = 1_000.0
    }
}

/** Returns the figures of both paths with their ratios. */
internal fun compare(
    streams: Int,
    direct: PathFiguresJson,
    daemon: PathFiguresJson
): LevelFiguresJson = LevelFiguresJson(
    streams,
    direct,
    daemon,
    daemon.firstTokenMs.dividedBy(direct.firstTokenMs),
    daemon.answerMs.dividedBy(direct.answerMs)
)

/** Formats [levels] as a table with one row per number of streams and kind of time. */
internal fun formatTable(levels: List<LevelFiguresJson>): String = buildString {
    appendLine(
        "streams time         direct p50 daemon p50   ratio direct p99 daemon p99   ratio failed"
    )
    for (level in levels) {
        val failed = level.direct.failed + level.daemon.failed
        appendRow(
            level.streams,
            "first token",
            level.direct.firstTokenMs,
            level.daemon.firstTokenMs,
            level.firstTokenRatio
        )
        appendLine(" %6d".format(failed))
        appendRow(
            level.streams,
            "whole answer",
            level.direct.answerMs,
            level.daemon.answerMs,
            level.answerRatio
        )
        appendLine(" %6d".format(failed))
    }
}

/** Appends one row without its last column. */
private fun StringBuilder.appendRow(
    streams: Int,
    name: String,
    direct: QuantilesJson,
    daemon: QuantilesJson,
    ratio: QuantilesJson
) {
    append("%7d %-12s ".format(streams, name))
    append("%10.2f %10.2f %7.3f ".format(direct.p50, daemon.p50, ratio.p50))
    append("%10.2f %10.2f %7.3f".format(direct.p99, daemon.p99, ratio.p99))
}
