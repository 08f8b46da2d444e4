package cowslipcart.systemtest.soak

/**
 * Checks from what the runners received that gateways heed what runners say in their answers. The
 * checks bind also while the store is disturbed; a gateway that ended or was paused is excused.
 */
internal class SoakNoticeChecks(
    private val log: SoakLog,
    private val runs: List<SoakRun>,
    private val backoffs: List<SoakBackoff>
) {
    /** A request of [gateway] that reached [runner]. */
    private class Arrival(val request: SoakRequest, val runner: String, val atMs: Long) {
        val gateway: String get() = request.gateway
    }

    private val requestsById = log.requests.toList().associateBy { it.id }
    private val arrivals = runs.mapNotNull { run ->
        requestsById[run.id]?.let { Arrival(it, run.runner, run.startedAtMs) }
    } + backoffs.mapNotNull { backoff ->
        requestsById[backoff.id]?.let { Arrival(it, backoff.runner, backoff.atMs) }
    }

    /** Returns a line for each violated guarantee. */
    fun findViolations(): List<String> =
        log.leavingSinceMs.flatMap { (runner, sinceMs) -> checkLeaving(runner, sinceMs) } +
            backoffs.mapNotNull { checkBackoff(it) }

    /**
     * After a gateway has passed on an answer of a runner that leaves, it sends nothing new there.
     */
    private fun checkLeaving(runner: String, sinceMs: Long): List<String> {
        val byGateway = arrivals.filter { it.runner == runner }.groupBy { it.gateway }
        return byGateway.mapNotNull { (gateway, arrived) ->
            val toldAtMs = arrived
                .filter { it.atMs > sinceMs && it.request.isAnswered }
                .minOfOrNull { it.request.endedAtMs } ?: return@mapNotNull null
            val late = arrived.firstOrNull {
                it.request.sentAtMs > toldAtMs + LEAVE_PROPAGATION_MS && !wasHeldUp(it) &&
                    log.isUninterrupted(gateway, toldAtMs, it.atMs)
            }
            late?.let {
                "${it.request.id} at $gateway ${it.request.sentAtMs}: reached $runner, which had " +
                    "said at $toldAtMs that it leaves"
            }
        }
    }

    /** A gateway leaves a runner alone for the time that the runner asked for in a refusal. */
    private fun checkBackoff(backoff: SoakBackoff): String? {
        val gateway = requestsById[backoff.id]?.gateway ?: return null
        val untilMs = backoff.atMs + backoff.forMs
        val early = arrivals.filter {
            it.runner == backoff.runner && it.gateway == gateway &&
                it.atMs > backoff.atMs + BACKOFF_SLACK_MS && it.atMs < untilMs && !wasHeldUp(it)
        }
        val isBound = log.isUninterrupted(gateway, backoff.atMs, untilMs) &&
            !log.isDisturbed(backoff.runner, backoff.atMs, untilMs)
        val ids = early.joinToString { "${it.request.id} ${it.atMs}" }
        val message = "$gateway: ${backoff.runner} asked for a backoff at ${backoff.atMs} for " +
            "${backoff.forMs} ms and got $ids"
        return message.takeIf { isBound && early.size > MAX_EARLY }
    }

    private val SoakRequest.isAnswered: Boolean get() = outcome is CallerOutcome.Complete

    /** Whether the link to the runner delayed the request. */
    private fun wasHeldUp(arrival: Arrival): Boolean =
        log.isDisturbed(arrival.runner, arrival.request.sentAtMs, arrival.atMs)

    private companion object {
        /** Time within which a gateway must heed the leave of a runner that it has passed on. */
        const val LEAVE_PROPAGATION_MS = 2_000L

        /** Requests that were under way to the runner arrive within this time. */
        const val BACKOFF_SLACK_MS = 500L

        /** Requests that may reach a runner in its backoff nevertheless. */
        const val MAX_EARLY = 2
    }
}
