package cowslipcart.daemon.gateway

import java.nio.channels.ClosedChannelException
import java.nio.channels.SelectionKey
import java.nio.channels.Selector
import java.nio.channels.SocketChannel

/**
 * Asks the kernel whether bytes or the end of a connection wait to be read. Ktor's selector answers
 * this only in its turn, and the coroutine that reads the socket runs in its own.
 */
internal class ReadProbe {
    private val selector = Selector.open()

    /** Returns at once; a [channel] that is closed on this side counts as readable. */
    @Synchronized
    fun isReadable(channel: SocketChannel): Boolean {
        val key = try {
            channel.register(selector, SelectionKey.OP_READ)
        } catch (_: ClosedChannelException) {
            return true
        }
        try {
            return selector.selectNow() > 0
        } finally {
            key.cancel()
            selector.selectedKeys().clear()
            // Cancelled keys are removed from the channel by the next selection only.
            selector.selectNow()
        }
    }
}
