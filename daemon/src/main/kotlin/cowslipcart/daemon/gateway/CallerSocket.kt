package cowslipcart.daemon.gateway

import cowslipcart.daemon.http1.ByteSource
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.ByteChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.invokeOnCompletion
import io.ktor.utils.io.isCompleted
import kotlinx.coroutines.DisposableHandle

/** The connection of a caller, with what is known of its end. */
internal class CallerSocket(private val socket: Socket) {
    private val channel = ByteChannel()
    private val reading = socket.attachForReading(channel)

    val source = ByteSource(channel)
    val writer: ByteWriteChannel = socket.openWriteChannel(autoFlush = false)

    /** Whether the end of the connection was read from the socket, or a reset. */
    val isClosed: Boolean get() = reading.isCompleted

    /**
     * Calls [action] as soon as the end of the connection is read, or at once if it was. [action]
     * runs on the thread that reads, ahead of the coroutines that wait for their turn.
     */
    fun onClose(action: () -> Unit): DisposableHandle = reading.invokeOnCompletion { _ -> action() }

    fun close() = socket.close()
}
