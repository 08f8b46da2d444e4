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
 * @property worth value of the request if it is answered on time
 * @property earned part of [worth] that the outcome is credited with
 */
internal class EndedRequest(
    val kind: RequestKind,
    val arrivedAtMs: Long,
    val end: RequestEnd,
    val worth: Double,
    val earned: Double
)

/**
 * Result of one run.
 *
 * @property share earned worth of all requests divided by their total worth
 * @property worstWindows mean share of the two arrival windows of 2 s with the lowest share
 * @property unheededNotices requests that reached an engine although it wanted none
 */
@Serializable
public data class GatewayResult(
    public val workload: String,
    public val seed: Long,
    public val share: Double,
    public val worstWindows: Double,
    public val kinds: List<KindResult>,
    public val unheededNotices: Int = 0
)

/** Counts of requests of one kind by their end, and their earned share of worth. */
@Serializable
public data class KindResult(
    public val name: String,
    public val asked: Int,
    public val onTime: Int,
    public val lateFirstEvent: Int,
    public val lateGap: Int,
    public val refused: Int,
    public val failed: Int,
    public val share: Double
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
            val ofKind = requests.filter { it.kind === kind }
            KindResult(
                kind.name,
                ofKind.size,
                ofKind.count { it.end == RequestEnd.ON_TIME },
                ofKind.count { it.end == RequestEnd.LATE_FIRST_EVENT },
                ofKind.count { it.end == RequestEnd.LATE_GAP },
                ofKind.count { it.end == RequestEnd.REFUSED },
                ofKind.count { it.end == RequestEnd.FAILED },
                share(ofKind)
            )
        }
    )

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
            "  %-16s asked %5d on time %5d late %4d + %4d refused %5d failed %4d share %.3f".format(
                Locale.ROOT,
                kind.name,
                kind.asked,
                kind.onTime,
                kind.lateFirstEvent,
                kind.lateGap,
                kind.refused,
                kind.failed,
                kind.share
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

/** Windows with fewer requests, such as the last of a run, are too small for a share. */
private const val MIN_WINDOW_REQUESTS = 20
