package cowslipcart.core.claims

import cowslipcart.core.model.HostId
import kotlin.math.ln
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import org.junit.jupiter.api.Nested

/**
 * Guards against claims that arrive faster than the log takes appends. Prints latency and appends a
 * second in virtual time.
 */
class ClaimLatencyTest {
    private class LatencyResult(
        val latenciesMs: List<Long>,
        val undecided: Int,
        val appendsPerS: Double
    ) {
        fun percentileMs(share: Double): Long? =
            latenciesMs.getOrNull(((latenciesMs.size - 1) * share).toInt())
    }

    /** One partition with an append time of 10 ms, a read time of 2 ms and no faults. */
    private inner class LatencyRun(private val claimsPerS: Int, settings: BatcherSettings) {
        private val simulation = Simulation(seed = claimsPerS.toLong())
        private val log = FakeLog<List<ClaimItem>>(simulation)
        private val batcher = createClaimBatcher(0, settings)
        private val claimedAtMs = HashMap<String, Long>()
        private val latenciesMs = ArrayList<Long>()
        private var undecided = 0

        fun measure(): LatencyResult {
            claimNext(1)
            for (atMs in 0 until DURATION_MS + 3_000 step TICK_MS) {
                simulation.after(atMs) { perform(batcher.tick(simulation.nowMs)) }
            }
            simulation.runUntil(Simulation.START_MS + DURATION_MS + 3_000)
            val appendsPerS = log.appendCount * 1_000.0 / DURATION_MS
            return LatencyResult(latenciesMs.sorted(), undecided, appendsPerS)
        }

        private fun claimNext(number: Int) {
            if (simulation.nowMs >= Simulation.START_MS + DURATION_MS) return
            val claim = claimOf("a$number", keyAt(simulation.nowMs, "k$number"))
            claimedAtMs[claim.attempt.value] = simulation.nowMs
            perform(batcher.claim(claim, HostId("h"), simulation.nowMs))
            // Exponential interarrival times; the fraction of a ms is rounded at random.
            val gapMs = -ln(1 - simulation.random.nextDouble()) * 1_000 / claimsPerS
            simulation.after((gapMs + simulation.random.nextDouble()).toLong()) {
                claimNext(number + 1)
            }
        }

        private fun perform(effects: List<BatcherEffect>): Unit = effects.forEach { effect ->
            when (effect) {
                is BatcherEffect.Append -> log.append(
                    effect.items,
                    { perform(batcher.onAppendFailed(effect.batchId, it, simulation.nowMs)) },
                    { perform(batcher.onAppended(effect.batchId, it, simulation.nowMs)) }
                )

                is BatcherEffect.Read -> log.read(
                    effect.from,
                    { perform(batcher.onReadFailed(it, simulation.nowMs)) },
                    { page ->
                        val records = page.records.map {
                            ClaimRecord(it.offset, it.appendedAtMs, it.payload)
                        }
                        perform(
                            batcher.onRecords(records, page.firstKept, page.end, simulation.nowMs)
                        )
                    }
                )

                is BatcherEffect.Reply -> onReply(effect)
            }
        }

        private fun onReply(reply: BatcherEffect.Reply) {
            when (reply.verdict) {
                ClaimVerdict.Won ->
                    latenciesMs += simulation.nowMs - claimedAtMs.getValue(reply.attempt.value)

                else -> undecided++
            }
        }
    }

    private fun measure(claimsPerS: Int, name: String, settings: BatcherSettings): LatencyResult {
        val result = LatencyRun(claimsPerS, settings).measure()
        println(
            "$claimsPerS claims/s $name: p50 ${result.percentileMs(0.5)} ms, " +
                "p99 ${result.percentileMs(0.99)} ms, " +
                "${"%.1f".format(result.appendsPerS)} appends/s, ${result.undecided} of " +
                "${result.latenciesMs.size + result.undecided} undecided"
        )
        return result
    }

    @Nested
    inner class Batched {
        @Test
        fun `every claim is decided with at most 40 appends a second`() {
            RATES.forEach { rate ->
                val result = measure(rate, "with batches", BatcherSettings())
                assertEquals(0, result.undecided)
                assertTrue(result.appendsPerS <= 40, "found ${result.appendsPerS} appends/s")
                assertTrue(result.latenciesMs.last() <= 100, "found ${result.latenciesMs.last()}")
            }
        }
    }

    @Nested
    inner class OneByOne {
        @Test
        fun `one append per claim leaves claims undecided at 200 a second`() {
            val settings = BatcherSettings(batchIntervalMs = 0, maxBatchClaims = 1)
            val undecided = RATES.associateWith {
                measure(it, "one by one", settings).undecided
            }
            assertTrue(undecided.getValue(200) > 0, "expected undecided claims, found none")
        }
    }

    private companion object {
        const val DURATION_MS = 60_000L
        const val TICK_MS = 5L
        val RATES = listOf(50, 200, 1_000)
    }
}
