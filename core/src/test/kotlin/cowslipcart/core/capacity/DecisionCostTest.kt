package cowslipcart.core.capacity

import com.sun.management.ThreadMXBean
import java.lang.management.ManagementFactory
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertTrue

/** Guards against decisions that allocate more memory with more endpoints. */
class DecisionCostTest {
    private val threads = ManagementFactory.getThreadMXBean() as ThreadMXBean

    private class Cost(val bytes: Long, val nanos: Long)

    /** Returns the mean cost of a submit and a release on a shard that is about half full. */
    private fun measure(endpointCount: Int): Cost {
        val random = Random(1)
        val scheduler = schedulerOf(config(*Array(endpointCount) { endpoint("e$it", slots = 8) }))
        val running = ArrayDeque<SchedulerDecision.Grant>()
        fun step(number: Int) {
            val family = random.nextInt(4) * 100
            val prefix = List(16) { family + it }
            val request = request("r$number", tier = number % 3, prefix = prefix, prefill = 1_024)
            val nowMs = number * 3_000L / endpointCount
            running.addAll(scheduler.submit(request, nowMs).grants)
            if (running.size > endpointCount * 4) {
                scheduler.release(report(running.removeFirst().grantId), nowMs)
            }
        }
        repeat(WARM_UP) { step(it) }
        val bytesBefore = threads.getThreadAllocatedBytes(Thread.currentThread().id)
        // The minimum of several batches, since other processes slow some of them down.
        val nanos = (0 until BATCHES).minOf { batch ->
            val before = threads.currentThreadCpuTime
            repeat(BATCH) { step(WARM_UP + batch * BATCH + it) }
            (threads.currentThreadCpuTime - before) / BATCH
        }
        val bytes = threads.getThreadAllocatedBytes(Thread.currentThread().id) - bytesBefore
        return Cost(bytes / (BATCHES * BATCH), nanos)
    }

    @Test
    fun `allocation does not grow with the endpoints`() {
        val few = measure(30)
        val many = measure(600)
        println(
            "30 endpoints: ${few.bytes} bytes, ${few.nanos} ns; " +
                "600 endpoints: ${many.bytes} bytes, ${many.nanos} ns of processor time for a submit and a release"
        )
        // The margin allows for tables that grow with the number of running requests.
        assertTrue(
            many.bytes < few.bytes * 3 / 2,
            "expected at most 1.5 times ${few.bytes} bytes, got ${many.bytes}"
        )
    }

    private companion object {
        const val WARM_UP = 20_000
        const val BATCHES = 40
        const val BATCH = 500
    }
}
