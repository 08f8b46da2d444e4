package cowslipcart.standins.load

import cowslipcart.core.model.Tier
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeMark
import kotlin.time.TimeSource
import kotlin.uuid.ExperimentalUuidApi
import kotlin.uuid.Uuid
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch

/**
 * Sends the requests of [mix] at their planned times, whether or not earlier ones are answered
 * (open loop).
 */
internal class LoadRunner(
    private val mix: LoadMix,
    private val targets: List<LoadTarget>,
    private val client: LoadClient
) {
    private class Result(val tier: Tier, val isResend: Boolean, val outcome: LoadOutcome)

    /** Sends all requests and returns the report when the last one has ended. */
    suspend fun run(): LoadReport = coroutineScope {
        val results = Channel<Result>(Channel.UNLIMITED)
        val start = TimeSource.Monotonic.markNow()
        launch {
            sendAll(start, results)
            results.close()
        }
        val all = LoadStatistics()
        val resends = LoadStatistics()
        val tiers = mix.tiers.distinct().sorted().associateWith { LoadStatistics() }
        for (result in results) {
            if (result.isResend) {
                resends.add(result.outcome)
            } else {
                all.add(result.outcome)
                tiers.getValue(result.tier).add(result.outcome)
            }
        }
        LoadReport(
            seed = mix.seed,
            durationS = start.elapsedNow().inWholeMilliseconds / MS_PER_S,
            all = all.figures(),
            tiers = tiers.mapValues { it.value.figures() },
            resends = resends.figures()
        )
    }

    /** Sends all requests and suspends until the last one has ended. */
    private suspend fun sendAll(
        start: TimeSource.Monotonic.ValueTimeMark,
        results: Channel<Result>
    ) = coroutineScope {
        for (request in planLoad(mix)) {
            val plannedStart = start + request.atMs.milliseconds
            delayUntil(plannedStart)
            val key = if (mix.isKeyed) createKey() else null
            launch {
                results.send(send(request, request.targetIndex, key, plannedStart, false))
            }
            request.resend?.let { resend ->
                val resendStart = plannedStart + resend.delayMs.milliseconds
                launch {
                    delayUntil(resendStart)
                    results.send(send(request, resend.targetIndex, key, resendStart, true))
                }
            }
        }
    }

    private suspend fun send(
        request: PlannedRequest,
        targetIndex: Int,
        key: String?,
        plannedStart: TimeMark,
        isResend: Boolean
    ): Result {
        val call = LoadCall(targets[targetIndex], request, request.tier, key)
        return Result(request.tier, isResend, client.send(call, plannedStart))
    }

    private suspend fun delayUntil(mark: TimeMark) = delay(-mark.elapsedNow())

    /** Creates a key that does not depend on the seed, since a key must be new in each run. */
    @OptIn(ExperimentalUuidApi::class)
    private fun createKey(): String = Uuid.generateV7().toString()

    private companion object {
        const val MS_PER_S = 1_000.0
    }
}
