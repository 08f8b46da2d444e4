package cowslipcart.core.capacity

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import org.junit.jupiter.api.Nested

/** Guards against shedding a request while work of a lower tier runs or waits. */
class ShedRuleTest {
    private fun full(maxQueued: Int) =
        schedulerOf(config(endpoint("a", slots = 1), maxQueued = maxQueued))

    private fun List<SchedulerDecision>.shed() =
        refusals.filter { it.reason == RefusalReason.SHARD_FULL }.ids

    @Test
    fun `a queued request of a lower tier is shed first`() {
        val scheduler = full(maxQueued = 1)
        scheduler.submit(request("running", tier = 0), 0)
        scheduler.submit(request("lower", tier = 2), 0)
        scheduler.submit(request("top-1", tier = 0), 0)
        assertEquals(listOf("lower"), scheduler.submit(request("top-2", tier = 0), 0).shed())
    }

    @Test
    fun `running work of a lower tier is preempted and nothing is shed`() {
        val scheduler = full(maxQueued = 1)
        scheduler.submit(request("lower", tier = 2, output = 10), 0)
        scheduler.submit(request("top-1", tier = 0), 0)
        val decisions = scheduler.submit(request("top-2", tier = 0), 0)
        assertEquals(listOf("lower"), decisions.preemptions.ids)
        assertEquals(emptyList(), decisions.refusals)
    }

    @Test
    fun `nothing is shed while work of a lower tier runs that cannot be preempted`() {
        val scheduler = full(maxQueued = 1)
        scheduler.submit(request("lower", tier = 2, isInterruptible = false), 0)
        val refused = (1..5).flatMap { scheduler.submit(request("top-$it", tier = 0), 0).refusals }
        assertEquals(emptyList(), refused)
    }

    @Test
    fun `a request is shed when only its own tier is left`() {
        val scheduler = full(maxQueued = 1)
        scheduler.submit(request("running", tier = 0), 0)
        scheduler.submit(request("top-1", tier = 0), 0)
        val refusal = scheduler.submit(request("top-2", tier = 0), 0).refusals.single()
        assertEquals(RefusalReason.SHARD_FULL, refusal.reason)
        assertTrue((refusal.retryAfterMs ?: 0) > 0, "expected a retry time, got $refusal")
    }

    @Test
    fun `work of a lower tier on an unavailable endpoint does not count`() {
        val scheduler = full(maxQueued = 1)
        scheduler.submit(request("lower", tier = 2), 0)
        val endpoints = arrayOf(endpoint("a", slots = 1), endpoint("b", slots = 1))
        scheduler.reconfigure(config(*endpoints, unavailable = setOf("a"), maxQueued = 1), 0)
        scheduler.submit(request("running", tier = 0), 0)
        scheduler.submit(request("top-1", tier = 0), 0)
        assertEquals(listOf("top-2"), scheduler.submit(request("top-2", tier = 0), 0).shed())
    }

    @Nested
    inner class Deadline {
        private val scheduler = full(maxQueued = 9)

        private fun fill() {
            scheduler.submit(request("running", tier = 0, output = 9_000), 0)
            scheduler.submit(request("high", tier = 1, timeLeftMs = 5_000), 0)
            scheduler.submit(request("low", tier = 2), 0)
        }

        @Test
        fun `a queued lower tier is shed before a request that waited too long`() {
            fill()
            assertEquals(listOf("low", "high"), scheduler.tick(3_000).refusals.ids)
        }

        @Test
        fun `the same when the request is submitted again`() {
            fill()
            val again = request("high", tier = 1, timeLeftMs = 2_000)
            assertEquals(listOf("low", "high"), scheduler.submit(again, 2_500).refusals.ids)
        }

        @Test
        fun `streams that resume on another endpoint are not shed`() {
            val two = schedulerOf(config(endpoint("a", slots = 1), endpoint("b", slots = 1)))
            repeat(2) { two.submit(request("running-$it", tier = 0, output = 9_000), 0) }
            two.submit(request("high", tier = 1, timeLeftMs = 5_000, resumeOn = "a"), 0)
            two.submit(request("low", tier = 2, resumeOn = "b"), 0)
            assertEquals(listOf("high"), two.tick(3_100).refusals.ids)
        }

        @Test
        fun `a request that could not run on arrival sheds nothing`() {
            fill()
            val hopeless = request("hopeless", tier = 1, output = 500, timeLeftMs = 5_000)
            assertEquals(listOf("hopeless"), scheduler.submit(hopeless, 10).refusals.ids)
        }
    }

    @Test
    fun `a stopped tier is refused`() {
        val refusal = full(maxQueued = 0).submit(request("r", tier = 1), 0).refusals.single()
        assertEquals(RefusalReason.TIER_STOPPED, refusal.reason)
    }

    @Nested
    inner class RandomLoad {
        /** Checks the decisions against separate records of running and queued requests. */
        private fun checkSeed(seed: Int) {
            val random = Random(seed)
            val scheduler = full(maxQueued = 2)
            val waiting = LinkedHashMap<String, Int>()
            val running = LinkedHashMap<String, SchedulerDecision.Grant>()
            repeat(60) { step ->
                val nowMs = step * 50L
                val ended = running.values.randomOrNull(random).takeIf { random.nextInt(3) == 0 }
                val decisions = if (ended == null) {
                    val tier = random.nextInt(3)
                    waiting["r$step"] = tier
                    scheduler.submit(request("r$step", tier, output = 20), nowMs)
                } else {
                    running -= ended.request.requestId.value
                    scheduler.release(report(ended.grantId), nowMs)
                }
                for (decision in decisions) {
                    val id = decision.request.requestId.value
                    if (decision is SchedulerDecision.Grant) running[id] = decision
                    if (decision !is SchedulerDecision.Preempt) waiting -= id
                    if (decision is SchedulerDecision.Refuse) {
                        val rank = decision.request.tier.rank
                        val lower = waiting.filterValues { it > rank }.keys +
                            running.filterValues { it.request.tier.rank > rank }.keys
                        assertTrue(
                            lower.isEmpty(),
                            "seed $seed: expected no shedding of $id while $lower run or wait"
                        )
                    }
                }
            }
        }

        @Test
        fun `sheds no request above running or queued work`() {
            for (seed in 1..200) checkSeed(seed)
        }
    }
}
