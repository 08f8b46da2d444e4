package cowslipcart.daemon.http1

import io.ktor.network.selector.SelectInterest
import io.ktor.network.selector.Selectable
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.Socket
import java.io.IOException
import java.nio.ByteBuffer
import java.nio.channels.SocketChannel
import kotlinx.coroutines.yield

/**
 * Reads from a TCP connection when it is asked to, so that bytes nobody asks for stay in the
 * kernel. Ktor's read channel takes up to 1 MB for each connection, which is too much for the heap
 * if many endpoints send more than they should.
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
            selector.awaitReady(selectable, SelectInterest.READ)
        }
    }

    /** Lets others run now and then while the peer sends as fast as this host reads. */
    private suspend fun yieldAfter(count: Int) {
        bytesUntilYield -= count
        if (bytesUntilYield > 0) return
        bytesUntilYield = YIELD_BYTES
        yield()
    }

    private companion object {
        const val YIELD_BYTES = 65_536
    }
}
