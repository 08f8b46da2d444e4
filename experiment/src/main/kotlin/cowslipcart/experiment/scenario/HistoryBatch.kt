package cowslipcart.experiment.scenario

/** A history that violates a guarantee, with the trace that leads there. */
internal class FailedHistory(
    val seed: Long,
    val violations: List<String>,
    val trace: List<String>
) {
    override fun toString(): String =
        trace.joinToString("\n") + "\nseed $seed: " + violations.joinToString()
}

/**
 * Result of a batch of histories.
 *
 * @property runCount calls that ran at an endpoint
 * @property replies first replies to callers by kind, to see that the histories reach each kind
 */
internal class HistoryReport(
    val runCount: Int,
    val replies: Map<ReplyKind, Int>,
    val failures: List<FailedHistory>
) {
    /** One line without the failures. */
    val summary: String
        get() = "runs: $runCount, replies: $replies, failing seeds: ${failures.size}"
}

/** Runs one history for each of [seeds] and collects those that violate a guarantee. */
internal fun runHistories(seeds: Iterable<Long>): HistoryReport {
    val replies = sortedMapOf<ReplyKind, Int>()
    val failures = mutableListOf<FailedHistory>()
    var runCount = 0
    for (seed in seeds) {
        val history = History(seed)
        val violations = history.run()
        val world = history.world
        world.callers.mapNotNull { it.reply }.forEach { replies.merge(it.kind, 1, Int::plus) }
        runCount += world.journal.runs.size
        if (violations.isNotEmpty()) {
            failures += FailedHistory(seed, violations, world.time.trace.toList())
        }
    }
    return HistoryReport(runCount, replies, failures)
}
