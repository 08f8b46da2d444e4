package cowslipcart.core.capacity

import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.PrefixBlock
import kotlin.test.Test
import kotlin.test.assertEquals
import org.junit.jupiter.api.Nested

/** Guards against requests that wait for work of lower tiers, and against needless preemption. */
class PreemptionTest {
    private fun schedulerWith(
        vararg running: CapacityRequest,
        canResume: Boolean = true
    ): ShardScheduler {
        val fast = endpoint("a", running.size, prefillPerS = 1e6, canResume = canResume)
        val scheduler = schedulerOf(config(fast))
        running.forEach { scheduler.submit(it, 0) }
        return scheduler
    }

    private fun ShardScheduler.top(nowMs: Long = 0) =
        submit(request("top", tier = 0), nowMs).preemptions.ids

    @Nested
    inner class Triggers {
        @Test
        fun `when a slot would become free too late`() {
            assertEquals(listOf("lower"), schedulerWith(request("lower", output = 1_000)).top())
        }

        @Test
        fun `not while a slot becomes free soon`() {
            assertEquals(emptyList(), schedulerWith(request("lower", output = 10)).top())
        }

        @Test
        fun `later when the slot did not become free`() {
            val scheduler = schedulerWith(request("lower", output = 10))
            scheduler.top()
            assertEquals(listOf("lower"), scheduler.tick(800).preemptions.ids)
        }

        @Test
        fun `not of work of the same tier`() {
            assertEquals(
                emptyList(),
                schedulerWith(request("other", tier = 0, output = 1_000)).top()
            )
        }

        @Test
        fun `not of work that must not be interrupted`() {
            val lower = request("lower", output = 1_000, isInterruptible = false)
            assertEquals(emptyList(), schedulerWith(lower).top())
        }

        @Test
        fun `not on an endpoint that the queued request skips`() {
            val prefix = (1..40).toList()
            val scheduler =
                schedulerOf(config(endpoint("a", slots = 1), endpoint("b", slots = 1)))
            scheduler.applyCacheEvents(
                prefix.map { CacheEvent(EndpointId("b"), PrefixBlock(it.toLong()), true) },
                0
            )
            scheduler.submit(request("on-b", tier = 0, output = 40, resumeOn = "b"), 0)
            scheduler.submit(request("r", prefill = 2_560, prefix = prefix), 0)
            scheduler.submit(request("lower", tier = 2, output = 500), 0)
            assertEquals(emptyList(), scheduler.tick(1_000).preemptions.ids)
        }

        @Test
        fun `once for each queued request`() {
            val scheduler =
                schedulerWith(request("l1", output = 1_000), request("l2", output = 1_000))
            assertEquals(1, scheduler.top().size)
            assertEquals(emptyList(), scheduler.tick(100))
        }

        @Test
        fun `again when the origin did not answer`() {
            val scheduler = schedulerWith(request("lower", output = 1_000))
            scheduler.top()
            assertEquals(listOf("lower"), scheduler.tick(2_000).preemptions.ids)
        }
    }

    @Nested
    inner class Victim {
        @Test
        fun `is of the lowest tier`() {
            val running =
                arrayOf(request("t2", tier = 2, output = 900), request("t1", output = 900))
            assertEquals(listOf("t2"), schedulerWith(*running).top())
        }

        @Test
        fun `has read the shortest prompt`() {
            val long = request("long", prefill = 900, output = 900)
            val short = request("short", prefill = 90, output = 900)
            assertEquals(listOf("short"), schedulerWith(short, long, canResume = false).top())
        }

        @Test
        fun `can be resumed`() {
            val endpoints =
                arrayOf(endpoint("a", slots = 1, canResume = false), endpoint("b", slots = 1))
            val scheduler = schedulerOf(config(*endpoints))
            scheduler.submit(request("on-a", prefill = 90, output = 900), 0)
            scheduler.submit(request("on-b", prefill = 900, output = 900), 0)
            assertEquals(listOf("on-b"), scheduler.top())
        }

        @Test
        fun `frees enough tokens with others of its endpoint`() {
            val tight = endpoint("a", slots = 9, budgetTokens = 2_300)
            val scheduler = schedulerOf(config(tight))
            repeat(2) { scheduler.submit(request("l$it", output = 1_000), 0) }
            val decisions = scheduler.submit(request("top", tier = 0, prefill = 2_000), 0)
            assertEquals(2, decisions.preemptions.size)
        }
    }

    @Nested
    inner class AfterPreemption {
        private val scheduler = schedulerWith(request("lower", output = 1_000))
        private val preempted = scheduler.submit(request("top", tier = 0), 0).preemptions.single()
        private val cancelled = report(preempted.grantId, GrantEnd.CANCELLED, output = 30)
        private val resume = request("lower", prefill = 100, output = 970, resumeOn = "a")

        @Test
        fun `the queued request gets the slot`() {
            assertEquals(listOf("top"), scheduler.onPreempted(cancelled, resume, 50).grants.ids)
        }

        @Test
        fun `the preempted request resumes on the same endpoint`() {
            val top = scheduler.onPreempted(cancelled, resume, 50).grants.single()
            val resumed = scheduler.release(report(top.grantId), 3_000).grants.single()
            assertEquals("lower" to "a", resumed.request.requestId.value to resumed.endpoint.value)
        }

        @Test
        fun `the preempted request resumes before new ones of its tier`() {
            scheduler.submit(request("other", timeLeftMs = 30_000), 20)
            val top = scheduler.onPreempted(cancelled, resume, 50).grants.single()
            assertEquals(listOf("lower"), scheduler.release(report(top.grantId), 3_000).ids)
        }

        @Test
        fun `a request that cannot continue is not queued again`() {
            val top = scheduler.onPreempted(cancelled, null, 50).grants.single()
            assertEquals(emptyList(), scheduler.release(report(top.grantId), 3_000))
        }
    }
}
