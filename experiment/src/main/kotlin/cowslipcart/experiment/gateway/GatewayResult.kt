package cowslipcart.experiment.gateway

import java.util.Locale
import kotlinx.serialization.Serializable

/**
 * How one request ended. [LATE_FIRST_EVENT]: the first event came after its objective;
 * [LATE_GAP]: the first event was in time, but a gap between two events exceeded its target.
 */
internal enum class RequestEnd { ON_TIME, LATE_FIRST_EVENT, LATE_GAP, REFUSED, FAILED }

/**
 * Outcome of one request.
 *
 * @property weightedTokens size of its work, where an output token counts as ten prompt tokens
 * @property worth value of the request if it is answered on time
 * @property earned part of [worth] that the outcome is credited with
 */
internal class EndedRequest(
    val kind: RequestKind,
    val weightedTokens: Double,
    val arrivedAtMs: Long,
    val end: RequestEnd,
    val worth: Double,
    val earned: Double
) {
    val isServed: Boolean get() = when (end) {
        RequestEnd.ON_TIME, RequestEnd.LATE_FIRST_EVENT, RequestEnd.LATE_GAP -> true
        RequestEnd.REFUSED, RequestEnd.FAILED -> false
    }
}

/**
 * Result of one run.
 *
 * @property share earned worth of all requests divided by their total worth
 * @property worstWindows mean share of the two arrival windows of 2 s with the lowest share
 * @property unheededNotices requests that reached an engine although it wanted none
 * @property failedContacts attempts that met an engine which had crashed
 */
@Serializable
public data class GatewayResult(
    public val workload: String,
    public val seed: Long,
    public val share: Double,
    public val worstWindows: Double,
    public val kinds: List<KindResult>,
    public val unheededNotices: Int = 0,
    public val failedContacts: Int = 0
)

/**
 * Counts of requests of one kind by their end, and their earned share of worth.
 *
 * @property largestTenthServed served share of the tenth with the most work
 * @property nextFifthServed served share of the fifth below that tenth
 */
@Serializable
public data class KindResult(
    public val name: String,
    public val asked: Int,
    public val onTime: Int,
    public val lateFirstEvent: Int,
    public val lateGap: Int,
    public val refused: Int,
    public val failed: Int,
    public val share: Double,
    public val largestTenthServed: Double = 1.0,
    public val nextFifthServed: Double = 1.0
)

/** Computes the result of a run from the outcomes of its [requests]. */
internal fun summarize(workload: GatewayWorkload, seed: Long, requests: List<EndedRequest>) =
    GatewayResult(
        workload.name,
        seed,
        share(requests),
        requests.groupBy { it.arrivedAtMs / WINDOW_MS }.values
            .filter { it.size >= MIN_WINDOW_REQUESTS }
            .map { share(it) }
            .sorted()
            .take(WORST_WINDOWS)
            .average(),
        workload.kinds.map { kind ->
            val ofKind = requests.filter {
                it.kind === kind
            }.sortedByDescending { it.weightedTokens }
            val tenth = ofKind.size / LARGEST_DIVISOR
            KindResult(
                kind.name,
                ofKind.size,
                ofKind.count { it.end == RequestEnd.ON_TIME },
                ofKind.count { it.end == RequestEnd.LATE_FIRST_EVENT },
                ofKind.count { it.end == RequestEnd.LATE_GAP },
                ofKind.count { it.end == RequestEnd.REFUSED },
                ofKind.count { it.end == RequestEnd.FAILED },
                share(ofKind),
                servedShare(ofKind.take(tenth)),
                servedShare(ofKind.subList(tenth, minOf(NEXT_TENTHS * tenth, ofKind.size)))
            )
        }
    )

/** Share of [requests] that got their whole answer; 1.0 if there are none. */
private fun servedShare(requests: List<EndedRequest>): Double =
    if (requests.isEmpty()) 1.0 else requests.count { it.isServed }.toDouble() / requests.size

/** Renders [result] as a table. */
public fun renderGatewayResult(result: GatewayResult): String = buildString {
    appendLine(
        "%s seed %d: share %.3f, worst windows %.3f".format(
            Locale.ROOT,
            result.workload,
            result.seed,
            result.share,
            result.worstWindows
        )
    )
    for (kind in result.kinds) {
        appendLine(
            (
                "  %-16s asked %5d on time %5d late %4d + %4d refused %5d failed %4d share %.3f " +
                    "served of largest %.2f next %.2f"
                ).format(
                Locale.ROOT,
                kind.name,
                kind.asked,
                kind.onTime,
                kind.lateFirstEvent,
                kind.lateGap,
                kind.refused,
                kind.failed,
                kind.share,
                kind.largestTenthServed,
                kind.nextFifthServed
            )
        )
    }
}

/** Earned share of the worth of [requests]; 1.0 if they have none. */
private fun share(requests: List<EndedRequest>): Double {
    val offered = requests.sumOf { it.worth }
    return if (offered == 0.0) 1.0 else requests.sumOf { it.earned } / offered
}

private const val WINDOW_MS = 2_000L
private const val WORST_WINDOWS = 2

/** The largest tenth of a kind, and the end in tenths of the fifth below it. */
private const val LARGEST_DIVISOR = 10
private const val NEXT_TENTHS = 3

/** Windows with fewer requests, such as the last of a run, are too small for a share. */
private const val MIN_WINDOW_REQUESTS = 20
