package cowslipcart.daemon.http1

import io.ktor.network.selector.SelectInterest
import io.ktor.network.selector.Selectable
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.Socket
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.availableForRead
import io.ktor.utils.io.readAvailable
import java.io.IOException
import java.nio.ByteBuffer
import java.nio.channels.SocketChannel
import kotlinx.coroutines.yield

/** Where the bytes of a connection come from. Not safe for concurrent use. */
internal interface ByteInput {
    /** Whether bytes were received that [read] returns without waiting. */
    val hasBytes: Boolean

    /** Whether the connection is open and nothing waits to be read; may drop a byte otherwise. */
    fun isIdle(): Boolean

    /**
     * Reads up to [length] bytes into [buffer] from [start] on; returns their number, or -1 at the
     * end of the connection. Throws an [IOException] if the connection was reset.
     */
    suspend fun read(buffer: ByteArray, start: Int, length: Int): Int
}

/** Reads what another coroutine writes to [channel]. */
internal class ChannelInput(private val channel: ByteReadChannel) : ByteInput {
    override val hasBytes: Boolean get() = channel.availableForRead > 0

    override fun isIdle(): Boolean = !hasBytes && !channel.isClosedForRead

    override suspend fun read(buffer: ByteArray, start: Int, length: Int): Int {
        failIfReset()
        return channel.readAvailable(buffer, start, length).also { if (it < 0) failIfReset() }
    }

    private fun failIfReset() {
        channel.closedCause?.let { throw IOException("connection reset", it) }
    }
}

/**
 * Reads from a TCP connection when it is asked to, so that bytes nobody asks for stay in the kernel.
 * Ktor's read channel takes up to 1 MB for each connection, which is too much for the heap if many
 * endpoints send more than they should.
 */
internal class SocketInput(socket: Socket, private val selector: SelectorManager) : ByteInput {
    private val selectable = socket as Selectable
    private val channel = selectable.channel as SocketChannel
    private var bytesUntilYield = YIELD_BYTES

    override val hasBytes: Boolean get() = false

    override fun isIdle(): Boolean = try {
        channel.read(ByteBuffer.allocate(1)) == 0
    } catch (_: IOException) {
        false
    }

    override suspend fun read(buffer: ByteArray, start: Int, length: Int): Int {
        while (true) {
            val count = channel.read(ByteBuffer.wrap(buffer, start, length))
            if (count != 0) {
                yieldAfter(count)
                return count
            }
            awaitReadable()
        }
    }

    /** Lets others run now and then while the peer sends as fast as this host reads. */
    private suspend fun yieldAfter(count: Int) {
        bytesUntilYield -= count
        if (bytesUntilYield > 0) return
        bytesUntilYield = YIELD_BYTES
        yield()
    }

    private suspend fun awaitReadable() {
        selectable.interestOp(SelectInterest.READ, true)
        try {
            selector.select(selectable, SelectInterest.READ)
        } finally {
            selectable.interestOp(SelectInterest.READ, false)
        }
    }

    private companion object {
        const val YIELD_BYTES = 65_536
    }
}
