package cowslipcart.daemon.gateway

import java.io.IOException
import java.util.concurrent.atomic.AtomicLong

/** The responses that are being received take more memory than is set aside for them. */
internal class BufferBudgetException(maxBytes: Long) : IOException("responses over $maxBytes bytes")

/**
 * Bounds the memory of the responses that this host has received and their callers have not yet
 * taken. Three quarters of [maxBytes] are for what exceeds [FREE_BYTES] of each response. The rest
 * of each counts apart, up to half of [maxBytes], so that long responses can't keep out short ones.
 *
 * @property onExceeded called when a response does not fit
 */
internal class BufferBudget(private val maxBytes: Long, private val onExceeded: () -> Unit = {}) {
    private val maxLongBytes = maxBytes - maxBytes / 4
    private val maxShortBytes = maxBytes / 2
    private val longBytes = AtomicLong()
    private val shortBytes = AtomicLong()

    /** Bytes of all responses. */
    val usedBytes: Long get() = longBytes.get() + shortBytes.get()

    /** The bytes of one response; not safe for concurrent use. */
    inner class Reservation {
        private var reservedShortBytes = 0L
        private var reservedLongBytes = 0L

        /** Adds [bytes]. Throws [BufferBudgetException] if the total exceeds the budget. */
        fun add(bytes: Int) {
            val addedShort = minOf(bytes.toLong(), FREE_BYTES - reservedShortBytes)
            reservedShortBytes += addedShort
            if (shortBytes.addAndGet(addedShort) > maxShortBytes) fail()
            val addedLong = bytes - addedShort
            // Another response may exceed the budget right now; this one takes nothing from it.
            if (addedLong == 0L) return
            reservedLongBytes += addedLong
            if (longBytes.addAndGet(addedLong) > maxLongBytes) fail()
        }

        /** Gives all bytes back. */
        fun release() {
            shortBytes.addAndGet(-reservedShortBytes)
            longBytes.addAndGet(-reservedLongBytes)
            reservedShortBytes = 0
            reservedLongBytes = 0
        }
    }

    /** The responses to one request, which are kept until it has ended. */
    inner class Owner {
        private val reservations = mutableListOf<Reservation>()

        /** Begins a response. */
        fun begin(): Reservation = Reservation().also {
            synchronized(reservations) {
                reservations +=
                    it
            }
        }

        /** Gives the bytes of all responses back; they must not be added to any more. */
        fun release(): Unit = synchronized(reservations) {
            reservations.forEach { it.release() }
            reservations.clear()
        }
    }

    private fun fail(): Nothing {
        onExceeded()
        throw BufferBudgetException(maxBytes)
    }

    private companion object {
        const val FREE_BYTES = 65_536L
    }
}
