package cowslipcart.daemon.http1

import io.ktor.network.selector.SelectInterest
import io.ktor.network.selector.Selectable
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.Socket
import java.io.IOException
import java.nio.ByteBuffer
import java.nio.channels.SocketChannel
import kotlinx.coroutines.withTimeoutOrNull

/**
 * Sends on a TCP connection without a buffer of its own: what [send] has returned from is in the
 * kernel. While the peer takes nothing, the coroutine is suspended. Ktor's write channel calls the
 * kernel again and again then, and keeps a thread busy until the peer reads on.
 *
 * @property stallMs time after which a peer that takes nothing counts as lost
 */
internal class SocketSink(
    socket: Socket,
    private val selector: SelectorManager,
    private val stallMs: Long = STALL_MS
) : ByteSink {
    private val selectable = socket as Selectable
    private val channel = selectable.channel as SocketChannel
    private var isCutOff = false

    /** Sends at once what the kernel takes, before the first suspension. */
    override suspend fun send(bytes: ByteArray) {
        if (isCutOff) throw IOException("an earlier message was cut off")
        isCutOff = true
        var sentCount = 0
        while (true) {
            sentCount += writeSome(bytes, sentCount)
            if (sentCount == bytes.size) break
            withTimeoutOrNull(stallMs) { selector.awaitReady(selectable, SelectInterest.WRITE) }
                ?: throw IOException("peer took nothing for $stallMs ms")
        }
        isCutOff = false
    }

    override suspend fun finish() {
        channel.shutdownOutput()
    }

    /** Returns how many of [bytes] from [start] on the kernel has taken. */
    private fun writeSome(bytes: ByteArray, start: Int): Int {
        var count = 0
        while (start + count < bytes.size) {
            val length = minOf(MAX_WRITE_BYTES, bytes.size - start - count)
            val written = channel.write(ByteBuffer.wrap(bytes, start + count, length))
            count += written
            if (written < length) break
        }
        return count
    }

    private companion object {
        /** The JVM keeps a buffer of the largest write for each thread. */
        const val MAX_WRITE_BYTES = 65_536

        /** As long as a caller may take for sending a body, in ms. */
        const val STALL_MS = 30_000L
    }
}
