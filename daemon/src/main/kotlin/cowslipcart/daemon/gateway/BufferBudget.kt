package cowslipcart.daemon.gateway

import java.io.IOException
import java.util.concurrent.atomic.AtomicLong

/** The responses that are being received take more memory than is set aside for them. */
internal class BufferBudgetException(maxBytes: Long) : IOException("responses over $maxBytes bytes")

/**
 * Bounds the memory of the responses that this host is receiving, [maxBytes] in total. The first
 * [FREE_BYTES] of each response do not count, so that long responses can't keep out short ones.
 */
internal class BufferBudget(private val maxBytes: Long) {
    private val usedBytes = AtomicLong()

    /** The bytes of one response; not safe for concurrent use. */
    inner class Reservation {
        private var receivedBytes = 0L
        private var reservedBytes = 0L

        /** Adds [bytes]. Throws [BufferBudgetException] if the total exceeds the budget. */
        fun add(bytes: Int) {
            receivedBytes += bytes
            val addedBytes = maxOf(0, receivedBytes - FREE_BYTES) - reservedBytes
            // Another response may exceed the budget right now; this one takes nothing from it.
            if (addedBytes == 0L) return
            reservedBytes += addedBytes
            if (usedBytes.addAndGet(addedBytes) > maxBytes) throw BufferBudgetException(maxBytes)
        }

        /** Gives all bytes back. */
        fun release() {
            usedBytes.addAndGet(-reservedBytes)
            receivedBytes = 0
            reservedBytes = 0
        }
    }

    private companion object {
        const val FREE_BYTES = 65_536L
    }
}
