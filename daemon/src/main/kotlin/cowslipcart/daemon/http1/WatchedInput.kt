package cowslipcart.daemon.http1

import io.ktor.network.selector.SelectInterest
import io.ktor.network.selector.Selectable
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.Socket
import java.io.IOException
import java.nio.ByteBuffer
import java.nio.channels.SocketChannel
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.launch
import kotlinx.coroutines.yield

/**
 * Reads from a TCP connection like [SocketInput]; bytes that nobody asks for stay in the kernel.
 * Unlike there, a read can be cancelled and repeated, and the end of the connection is found on the
 * thread of the selector, also while the coroutines of this host are behind with their work:
 * [onEnd] is called there.
 */
internal class WatchedInput(
    socket: Socket,
    private val selector: SelectorManager,
    private val onEnd: () -> Unit
) : ByteInput {
    private val selectable = socket as Selectable
    private val channel = selectable.channel as SocketChannel

    // The wait of a cancelled read goes on, since the selector allows only one for each socket.
    private val scope = CoroutineScope(Dispatchers.Unconfined + SupervisorJob())
    private var wait: Job? = null

    /** What was read when the wait ended; the next read takes it from here. */
    private var early: ByteArray? = null
    private var earlyStart = 0
    private var earlyEnd = 0

    @Volatile
    private var failure: IOException? = null

    @Volatile
    private var isEnded = false
    private var bytesUntilYield = YIELD_BYTES

    override val hasBytes: Boolean get() = wait?.isActive != true && earlyStart < earlyEnd

    override fun isIdle(): Boolean = !hasBytes && !isEnded && failure == null

    override suspend fun read(buffer: ByteArray, start: Int, length: Int): Int {
        yieldIfDue()
        while (true) {
            wait?.join()
            val count = takeEarly(buffer, start, length)
            if (count > 0) return count
            failure?.let { throw IOException("connection reset", it) }
            if (isEnded) return -1
            val readCount = readNow(buffer, start, length)
            if (readCount > 0) return readCount.also { bytesUntilYield -= it }
            if (readCount == 0) startWait()
        }
    }

    /** Reads without waiting; what ends the connection is noted and returns -1. */
    private fun readNow(buffer: ByteArray, start: Int, length: Int): Int {
        val count = try {
            channel.read(ByteBuffer.wrap(buffer, start, minOf(length, MAX_READ_BYTES)))
        } catch (e: IOException) {
            failure = e
            -1
        }
        if (count < 0) {
            isEnded = true
            onEnd()
        }
        return count
    }

    @Suppress("TooGenericExceptionCaught")
    private fun startWait() {
        wait = scope.launch(start = CoroutineStart.UNDISPATCHED) {
            try {
                selector.awaitReady(selectable, SelectInterest.READ)
            } catch (e: Exception) {
                // This host has closed the socket; nothing else cancels the wait.
                failure = IOException("connection closed", e)
                onEnd()
                return@launch
            }
            val bytes = ByteArray(EARLY_BYTES)
            val count = readNow(bytes, 0, bytes.size)
            if (count > 0) {
                early = bytes
                earlyStart = 0
                earlyEnd = count
            }
        }
    }

    private fun takeEarly(buffer: ByteArray, start: Int, length: Int): Int {
        val bytes = early ?: return 0
        val count = minOf(length, earlyEnd - earlyStart)
        bytes.copyInto(buffer, start, earlyStart, earlyStart + count)
        earlyStart += count
        if (earlyStart == earlyEnd) early = null
        bytesUntilYield -= count
        return count
    }

    /**
     * Lets others run now and then while the peer sends as fast as this host reads. This comes
     * before a read, since bytes must not be lost when it is cancelled.
     */
    private suspend fun yieldIfDue() {
        if (bytesUntilYield > 0) return
        bytesUntilYield = YIELD_BYTES
        yield()
    }

    private companion object {
        const val YIELD_BYTES = 65_536

        /** The JVM keeps a buffer of the largest read for each thread. */
        const val MAX_READ_BYTES = 65_536

        /** Most heads of requests are shorter. */
        const val EARLY_BYTES = 2_048
    }
}
