package cowslipcart.experiment.slopes

import java.lang.management.ManagementFactory

/** Measures thread processor time and used heap, which other processes hardly affect. */
internal object Meter {
    private val threads = ManagementFactory.getThreadMXBean()
    private val memory = ManagementFactory.getMemoryMXBean()

    /** Processor time that [block] took, in microseconds. */
    fun cpuUs(block: () -> Unit): Double {
        val startNs = threads.currentThreadCpuTime
        block()
        return (threads.currentThreadCpuTime - startNs) / 1_000.0
    }

    /** Heap that the result of [create] retains, in bytes. */
    fun heapBytes(create: () -> Any): Double {
        val before = usedAfterCollection()
        val kept = create()
        val after = usedAfterCollection()
        check(kept.hashCode() != 0 || kept.toString().isNotEmpty())
        return (after - before).toDouble()
    }

    private fun usedAfterCollection(): Long {
        repeat(COLLECTIONS) { memory.gc() }
        return memory.heapMemoryUsage.used
    }

    private const val COLLECTIONS = 3
}
