package cowslipcart.systemtest.crowd

import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path
import kotlin.concurrent.thread
import kotlin.io.path.readLines

/** Records the highest memory and descriptors of the process [pid] until it is closed. */
internal class ProcessUsage(private val pid: Long) : AutoCloseable {
    /** Highest resident memory that the kernel has recorded, in KB. */
    @Volatile
    var peakResidentKb: Long = 0
        private set

    /** Highest number of open descriptors seen. */
    @Volatile
    var peakFds: Int = 0
        private set

    /** Highest number of open sockets and pipes seen. */
    @Volatile
    var peakSockets: Int = 0
        private set

    @Volatile
    private var isClosed = false
    private val sampler = thread(isDaemon = true, name = "usage-$pid") {
        while (!isClosed) {
            sample()
            Thread.sleep(SAMPLE_INTERVAL_MS)
        }
    }

    /** Reads the present values. Those of a process that has ended change nothing. */
    @Synchronized
    fun sample() {
        try {
            val residentKb = Path.of("/proc/$pid/status").readLines()
                .first { it.startsWith(PEAK_RESIDENT) }.filter { it.isDigit() }.toLong()
            val kinds = fdKinds()
            peakResidentKb = maxOf(peakResidentKb, residentKb)
            peakFds = maxOf(peakFds, kinds.size)
            peakSockets = maxOf(peakSockets, kinds.count { it in SOCKET_KINDS })
        } catch (_: IOException) {
            return
        } catch (_: NoSuchElementException) {
            return
        }
    }

    /** Returns the kind of each open descriptor, which precedes the colon of its link. */
    private fun fdKinds(): List<String> = Files.list(Path.of("/proc/$pid/fd")).use { links ->
        links.toList().mapNotNull { link ->
            try {
                Files.readSymbolicLink(link).toString().substringBefore(':')
            } catch (_: IOException) {
                // Closed since the directory was read.
                null
            }
        }
    }

    override fun close() {
        isClosed = true
        sampler.join()
    }

    private companion object {
        const val SAMPLE_INTERVAL_MS = 20L
        const val PEAK_RESIDENT = "VmHWM:"
        val SOCKET_KINDS = setOf("socket", "pipe")
    }
}
