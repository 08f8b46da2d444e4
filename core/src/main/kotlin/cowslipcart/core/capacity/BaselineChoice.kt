package cowslipcart.core.capacity

import cowslipcart.core.model.EndpointId
import kotlin.random.Random

/** Endpoint selection of a [BaselineScheduler]. */
internal sealed interface BaselineChoice {
    /** Reason of the grants, written to the log. */
    val name: String

    /** Returns one of [available], which is not empty. */
    fun choose(available: List<EndpointId>): EndpointId

    /** Applies a load report of an endpoint. */
    fun applyLoadReport(report: LoadReport)
}

/** Takes the endpoints in turn. */
internal class RoundRobinChoice : BaselineChoice {
    private var turn = 0

    override val name: String = "round-robin"

    override fun choose(available: List<EndpointId>): EndpointId {
        val index = turn % available.size
        turn = (index + 1) % available.size
        return available[index]
    }

    override fun applyLoadReport(report: LoadReport): Unit = Unit
}

/** Takes the endpoint with the least load in its last report, ignoring grants since then. */
internal class LeastReportedChoice : BaselineChoice {
    private val reported = ReportedLoads()

    override val name: String = "least-reported-load"

    override fun choose(available: List<EndpointId>): EndpointId =
        available.minWith(reported.comparator)

    override fun applyLoadReport(report: LoadReport): Unit = reported.update(report)
}

/** Takes the less loaded of two random endpoints by their last reports. */
internal class TwoRandomChoice(private val random: Random) : BaselineChoice {
    private val reported = ReportedLoads()

    override val name: String = "two-random-choices"

    override fun choose(available: List<EndpointId>): EndpointId {
        if (available.size == 1) return available.single()
        val first = random.nextInt(available.size)
        val second = (first + 1 + random.nextInt(available.size - 1)) % available.size
        return minOf(available[first], available[second], reported.comparator)
    }

    override fun applyLoadReport(report: LoadReport): Unit = reported.update(report)
}

/** Last load report of each endpoint; endpoints without one count as idle. */
private class ReportedLoads {
    private val runningCounts = HashMap<EndpointId, Int>()
    private val waitingTokens = HashMap<EndpointId, Long>()

    val comparator: Comparator<EndpointId> =
        compareBy({ runningCounts[it] ?: 0 }, { waitingTokens[it] ?: 0L })

    fun update(report: LoadReport) {
        runningCounts[report.endpoint] = report.runningCount
        waitingTokens[report.endpoint] = report.waitingTokens
    }
}
