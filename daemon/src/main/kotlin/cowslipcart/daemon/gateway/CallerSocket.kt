package cowslipcart.daemon.gateway

import cowslipcart.core.intake.ClientAddress
import cowslipcart.daemon.control.RuntimeClock
import cowslipcart.daemon.http1.ByteInput
import cowslipcart.daemon.http1.ByteSink
import cowslipcart.daemon.http1.ByteSource
import io.ktor.network.selector.Selectable
import io.ktor.network.sockets.Socket
import java.io.IOException
import java.net.InetSocketAddress
import java.nio.channels.SocketChannel
import kotlinx.coroutines.DisposableHandle
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay

/** The connection of a caller. */
internal class CallerSocket(
    private val socket: Socket,
    val sink: ByteSink,
    openInput: (Socket, () -> Unit) -> ByteInput,
    private val probe: ReadProbe,
    private val clock: RuntimeClock,
    private val maxDiscardBytes: Long
) : CallerMonitor {
    /** Completes when the end of the connection is read. */
    private val ended = Job()

    @Volatile
    override var closedAtMs: Long? = null
        private set

    val source = ByteSource(openInput(socket, ::markClosed))

    /** Network address of the caller. */
    val address: ClientAddress = ClientAddress(addressOf(socket))

    override val isClosed: Boolean get() = closedAtMs != null

    override fun onClose(action: () -> Unit): DisposableHandle =
        ended.invokeOnCompletion { _ -> action() }

    override suspend fun awaitClose() {
        try {
            source.awaitClose(maxDiscardBytes)
        } catch (_: IOException) {
            // A reset ends the connection like a close.
        }
        markClosed()
    }

    private fun markClosed() {
        if (closedAtMs == null) closedAtMs = clock.nowMs()
        ended.complete()
    }

    /**
     * A host that is behind with its work may not have read the end of the connection yet, so the
     * kernel is asked. Bytes that wait there are read first, since an end is found only behind
     * them.
     */
    override suspend fun confirmOpen() {
        val knownBytes = source.receivedBytes
        var pauseMs = FIRST_PAUSE_MS
        while (!isClosed && source.receivedBytes == knownBytes && probe.isReadable(socket)) {
            delay(pauseMs)
            pauseMs = minOf(2 * pauseMs, MAX_PAUSE_MS)
        }
        if (isClosed) throw CallerDisconnectedException()
    }

    /** Whether bytes wait in the kernel that were not read yet. */
    fun hasUnreadBytes(): Boolean = probe.isReadable(socket)

    fun close() = socket.close()

    private fun addressOf(socket: Socket): String {
        val channel = (socket as? Selectable)?.channel as? SocketChannel
        val remote = channel?.remoteAddress as? InetSocketAddress
        return remote?.address?.hostAddress.orEmpty()
    }

    private companion object {
        /** Time in which waiting bytes are read on a host that is not behind, in ms. */
        const val FIRST_PAUSE_MS = 2L

        /** Bounds the delay of a request after the bytes behind it were read, in ms. */
        const val MAX_PAUSE_MS = 32L
    }
}
