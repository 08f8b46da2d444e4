package cowslipcart.standins.load

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.HdrHistogram.Histogram

/** Outcome of one transmission of a request. */
internal sealed interface LoadOutcome {
    /**
     * The server answered with status 200.
     *
     * @property firstTokenUs time from the planned start to the first token; null if none came
     * @property tokenGapsUs times between tokens
     * @property totalUs time from the planned start to the end of the answer
     * @property fault null for a complete answer
     */
    class Answered(
        val firstTokenUs: Long?,
        val tokenGapsUs: List<Long>,
        val totalUs: Long,
        val fault: AnswerFault?
    ) : LoadOutcome

    /** The server refused; [type] is the problem type, or `status-N` without problem details. */
    data class Refused(val type: String) : LoadOutcome

    /**
     * The request timed out, or an I/O error came before a response. [type] is `timeout` or the
     * simple name of the exception's class.
     */
    data class Failed(val type: String) : LoadOutcome
}

@Serializable
internal data class FirstTokenJson(val p50: Double?, val p95: Double?, val p99: Double?)

@Serializable
internal data class TokenGapJson(val p95: Double?)

/** Figures of a group of requests; a percentile without samples is null. */
@Serializable
internal data class LoadFigures(
    val offered: Int,
    val answered: Int,
    val refused: Map<String, Int>,
    val failed: Map<String, Int>,
    @SerialName("first_token_ms") val firstTokenMs: FirstTokenJson,
    @SerialName("between_tokens_ms") val betweenTokensMs: TokenGapJson,
    @SerialName("check_failures") val checkFailures: Int,
    @SerialName("check_failures_by_type") val checkFailuresByType: Map<String, Int>
)

/**
 * Collects the outcomes of a group of requests. Answers with a fault are counted as answered too.
 */
internal class LoadStatistics {
    private var offeredCount = 0
    private var answeredCount = 0
    private val refused = sortedMapOf<String, Int>()
    private val failed = sortedMapOf<String, Int>()
    private val faults = sortedMapOf<String, Int>()
    private val firstTokenUs = Histogram(SIGNIFICANT_DIGITS)
    private val tokenGapUs = Histogram(SIGNIFICANT_DIGITS)

    fun add(outcome: LoadOutcome) {
        offeredCount++
        when (outcome) {
            is LoadOutcome.Answered -> addAnswer(outcome)
            is LoadOutcome.Refused -> refused.merge(outcome.type, 1, Int::plus)
            is LoadOutcome.Failed -> failed.merge(outcome.type, 1, Int::plus)
        }
    }

    /** Returns the figures of all outcomes added so far. */
    fun figures() = LoadFigures(
        offered = offeredCount,
        answered = answeredCount,
        refused = refused,
        failed = failed,
        firstTokenMs = FirstTokenJson(
            firstTokenUs.percentileMs(50.0),
            firstTokenUs.percentileMs(95.0),
            firstTokenUs.percentileMs(99.0)
        ),
        betweenTokensMs = TokenGapJson(tokenGapUs.percentileMs(95.0)),
        checkFailures = faults.values.sum(),
        checkFailuresByType = faults
    )

    private fun addAnswer(answer: LoadOutcome.Answered) {
        answeredCount++
        answer.firstTokenUs?.let { firstTokenUs.recordValue(it) }
        answer.tokenGapsUs.forEach { tokenGapUs.recordValue(it) }
        answer.fault?.let { faults.merge(it.label, 1, Int::plus) }
    }

    private fun Histogram.percentileMs(percentile: Double): Double? =
        if (totalCount == 0L) null else getValueAtPercentile(percentile) / US_PER_MS

    private companion object {
        const val SIGNIFICANT_DIGITS = 3
        const val US_PER_MS = 1_000.0
    }
}
