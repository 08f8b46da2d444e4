package cowslipcart.core.claims

import cowslipcart.core.model.HostId
import kotlin.math.ln
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import org.junit.jupiter.api.Nested

/** Guards against claims that outrun the log: prints latency and appends a second in virtual time. */
class ClaimLatencyTest {
    private class Figures(
        val latenciesMs: List<Long>,
        val undecided: Int,
        val appendsPerS: Double
    ) {
        fun percentileMs(share: Double): Long? =
            latenciesMs.getOrNull(((latenciesMs.size - 1) * share).toInt())
    }

    /** One partition; an append takes 10 ms, a read 2 ms, answers 1 ms, and the batcher ticks. */
    private inner class Run(private val claimsPerS: Int, settings: BatcherSettings) {
        private val world = World(seed = claimsPerS.toLong())
        private val log = FakeLog<List<ClaimItem>>(world)
        private val batcher = createClaimBatcher(0, settings)
        private val askedAtMs = HashMap<String, Long>()
        private val latenciesMs = ArrayList<Long>()
        private var undecided = 0

        fun measure(): Figures {
            claimNext(1)
            for (atMs in 0 until DURATION_MS + 3_000 step TICK_MS) {
                world.after(atMs) { perform(batcher.tick(world.nowMs)) }
            }
            world.runUntil(World.START_MS + DURATION_MS + 3_000)
            val appendsPerS = log.appendCount * 1_000.0 / DURATION_MS
            return Figures(latenciesMs.sorted(), undecided, appendsPerS)
        }

        private fun claimNext(number: Int) {
            if (world.nowMs >= World.START_MS + DURATION_MS) return
            val claim = claimOf("a$number", keyAt(world.nowMs, "k$number"))
            askedAtMs[claim.attempt.value] = world.nowMs
            perform(batcher.claim(claim, HostId("h"), world.nowMs))
            // Exponential gaps, rounded to ms with the remainder drawn.
            val gapMs = -ln(1 - world.random.nextDouble()) * 1_000 / claimsPerS
            world.after((gapMs + world.random.nextDouble()).toLong()) { claimNext(number + 1) }
        }

        private fun perform(effects: List<BatcherEffect>): Unit = effects.forEach { effect ->
            when (effect) {
                is BatcherEffect.Append -> log.append(
                    effect.items,
                    { perform(batcher.onAppendFailed(effect.batch, it, world.nowMs)) },
                    { perform(batcher.onAppended(effect.batch, it, world.nowMs)) }
                )

                is BatcherEffect.Read -> log.read(
                    effect.from,
                    { perform(batcher.onReadFailed(it, world.nowMs)) },
                    { page ->
                        val records = page.records.map {
                            ClaimRecord(it.offset, it.appendedAtMs, it.payload)
                        }
                        perform(
                            batcher.onRecords(records, page.firstKept, page.end, world.nowMs)
                        )
                    }
                )

                is BatcherEffect.Reply -> onReply(effect)
            }
        }

        private fun onReply(reply: BatcherEffect.Reply) {
            when (reply.verdict) {
                ClaimVerdict.Won ->
                    latenciesMs += world.nowMs - askedAtMs.getValue(reply.attempt.value)

                else -> undecided++
            }
        }
    }

    private fun measure(claimsPerS: Int, name: String, settings: BatcherSettings): Figures {
        val figures = Run(claimsPerS, settings).measure()
        println(
            "$claimsPerS claims/s $name: p50 ${figures.percentileMs(0.5)} ms, " +
                "p99 ${figures.percentileMs(0.99)} ms, " +
                "${"%.1f".format(figures.appendsPerS)} appends/s, ${figures.undecided} of " +
                "${figures.latenciesMs.size + figures.undecided} undecided"
        )
        return figures
    }

    @Nested
    inner class Batched {
        @Test
        fun `every claim is decided with at most 40 appends a second`() {
            RATES.forEach { rate ->
                val figures = measure(rate, "with batches", BatcherSettings())
                assertEquals(0, figures.undecided)
                assertTrue(figures.appendsPerS <= 40, "found ${figures.appendsPerS} appends/s")
                assertTrue(figures.latenciesMs.last() <= 100, "found ${figures.latenciesMs.last()}")
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
