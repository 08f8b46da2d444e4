package cowslipcart.experiment.gateway

import java.util.Locale
import kotlinx.serialization.Serializable

/**
 * How one request ended. A late one had its first event after its objective, or else a gap between
 * events over its target.
 */
internal enum class RequestEnd { ON_TIME, LATE_FIRST_EVENT, LATE_GAP, REFUSED, FAILED }

/** What became of one request. */
internal class EndedRequest(
    val kind: RequestKind,
    val arrivedAtMs: Long,
    val end: RequestEnd,
    val worth: Double,
    val earned: Double
)

/**
 * What callers got.
 *
 * @property share earned part of the worth of all requests
 * @property worstWindows the same of the requests of the worst two windows of 2 s
 */
@Serializable
public data class GatewayResult(
    public val workload: String,
    public val seed: Long,
    public val share: Double,
    public val worstWindows: Double,
    public val kinds: List<KindResult>
)

/** What the callers of one kind got. */
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

/** Sums [requests] up. */
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
            val own = requests.filter { it.kind === kind }
            KindResult(
                kind.name,
                own.size,
                own.count { it.end == RequestEnd.ON_TIME },
                own.count { it.end == RequestEnd.LATE_FIRST_EVENT },
                own.count { it.end == RequestEnd.LATE_GAP },
                own.count { it.end == RequestEnd.REFUSED },
                own.count { it.end == RequestEnd.FAILED },
                share(own)
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

private fun share(requests: List<EndedRequest>): Double {
    val owed = requests.sumOf { it.worth }
    return if (owed == 0.0) 1.0 else requests.sumOf { it.earned } / owed
}

private const val WINDOW_MS = 2_000L
private const val WORST_WINDOWS = 2

/** A window with fewer requests, at the end of a run, says little. */
private const val MIN_WINDOW_REQUESTS = 20
