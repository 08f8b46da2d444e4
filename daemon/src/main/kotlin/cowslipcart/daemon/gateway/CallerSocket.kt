package cowslipcart.daemon.gateway

import cowslipcart.daemon.control.RuntimeClock
import cowslipcart.daemon.http1.ByteSource
import io.ktor.network.selector.Selectable
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.ByteChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.invokeOnCompletion
import io.ktor.utils.io.isCompleted
import java.nio.channels.SocketChannel
import kotlinx.coroutines.DisposableHandle
import kotlinx.coroutines.delay

/** The connection of a caller, with what is known of its end. */
internal class CallerSocket(
    private val socket: Socket,
    private val probe: ReadProbe,
    private val clock: RuntimeClock
) {
    private val channel = ByteChannel()
    private val reading = socket.attachForReading(channel)
    private val socketChannel = (socket as Selectable).channel as SocketChannel

    /** Time at which the end of the connection was read, on the monotonic clock; null before. */
    @Volatile
    var closedAtMs: Long? = null
        private set

    val source = ByteSource(channel)
    val writer: ByteWriteChannel = socket.openWriteChannel(autoFlush = false)

    init {
        onClose { closedAtMs = clock.nowMs() }
    }

    /** Whether the end of the connection was read from the socket, or a reset. */
    val isClosed: Boolean get() = reading.isCompleted

    /**
     * Calls [action] as soon as the end of the connection is read, or at once if it was. [action]
     * runs on the thread that reads, ahead of the coroutines that wait for their turn.
     */
    fun onClose(action: () -> Unit): DisposableHandle = reading.invokeOnCompletion { _ -> action() }

    /**
     * Returns if the caller has not closed the connection, as far as the kernel of this host knows;
     * throws [CallerDisconnectedException] otherwise. A host that is behind with its work may not
     * have read the end of the connection yet, so the kernel is asked. Bytes that wait there are
     * read first, since an end is found only behind them.
     */
    suspend fun confirmOpen() {
        val knownBytes = source.receivedBytes
        var pauseMs = FIRST_PAUSE_MS
        while (!isClosed && source.receivedBytes == knownBytes && probe.isReadable(socketChannel)) {
            delay(pauseMs)
            pauseMs = minOf(2 * pauseMs, MAX_PAUSE_MS)
        }
        if (isClosed) throw CallerDisconnectedException()
    }

    fun close() = socket.close()

    private companion object {
        /** Time in which waiting bytes are read on a host that is not behind, in ms. */
        const val FIRST_PAUSE_MS = 2L

        /** Bounds the delay of a request after the bytes behind it were read, in ms. */
        const val MAX_PAUSE_MS = 32L
    }
}
