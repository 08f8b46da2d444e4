package cowslipcart.daemon.gateway

import io.ktor.network.selector.Selectable
import io.ktor.network.sockets.Socket
import java.nio.channels.ClosedChannelException
import java.nio.channels.SelectionKey
import java.nio.channels.Selector
import java.nio.channels.SocketChannel

/** Asks the kernel whether bytes or the end of a connection wait to be read. */
internal fun interface ReadProbe {
    /** Returns at once; a [socket] that is closed on this side counts as readable. */
    fun isReadable(socket: Socket): Boolean
}

/**
 * Probe with a selector of its own. Ktor's selector answers only in its turn, and the coroutine
 * that reads the socket runs in its own.
 */
internal class SelectorReadProbe : ReadProbe {
    private val selector = Selector.open()

    @Synchronized
    override fun isReadable(socket: Socket): Boolean {
        val channel = (socket as Selectable).channel as SocketChannel
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
