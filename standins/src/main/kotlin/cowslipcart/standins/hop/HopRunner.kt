package cowslipcart.standins.hop

import cowslipcart.core.model.Tier
import cowslipcart.standins.load.LoadCall
import cowslipcart.standins.load.LoadClient
import cowslipcart.standins.load.LoadOutcome
import cowslipcart.standins.load.PlannedRequest
import kotlin.random.Random
import kotlin.time.TimeSource
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay

/**
 * Sends each round of requests on both paths in turn. The paths alternate within a run, since the
 * load of the host changes between runs; the path that goes first changes with each round.
 */
internal class HopRunner(private val plan: HopPlan, private val client: LoadClient) {
    private val random = Random(plan.seed)

    /** Runs all levels and returns their figures. */
    suspend fun run(): List<LevelFiguresJson> {
        runLevel(plan.warmUp)
        return plan.levels.map { runLevel(it) }
    }

    private suspend fun runLevel(level: HopLevel): LevelFiguresJson {
        val statistics = HopPath.entries.associateWith { PathStatistics() }
        for (round in 0 until plan.warmUpRounds + level.rounds) {
            val startsMs = List(level.streams) { random.nextLong(plan.spreadMs + 1) }
            val order = if (round % 2 == 0) HopPath.entries else HopPath.entries.reversed()
            for (path in order) {
                val outcomes = runRound(level, round, path, startsMs)
                val counted = if (round >= plan.warmUpRounds) outcomes else emptyList()
                counted.forEach { statistics.getValue(path).add(it) }
            }
        }
        return compare(
            level.streams,
            statistics.getValue(HopPath.DIRECT).figures(),
            statistics.getValue(HopPath.DAEMON).figures()
        )
    }

    private suspend fun runRound(
        level: HopLevel,
        round: Int,
        path: HopPath,
        startsMs: List<Long>
    ): List<LoadOutcome> = coroutineScope {
        startsMs.mapIndexed { stream, startMs ->
            async {
                delay(startMs)
                val request = PlannedRequest(
                    index = stream,
                    atMs = startMs,
                    targetIndex = 0,
                    tier = TIER,
                    messages = plan.messages(level, round, stream),
                    maxTokens = plan.maxTokens,
                    resend = null
                )
                val target = when (path) {
                    HopPath.DIRECT -> plan.engine
                    HopPath.DAEMON -> plan.daemon
                }
                val call = LoadCall(target, request, TIER, key = null)
                client.send(call, TimeSource.Monotonic.markNow())
            }
        }.awaitAll()
    }

    private companion object {
        val TIER = Tier(0)
    }
}
