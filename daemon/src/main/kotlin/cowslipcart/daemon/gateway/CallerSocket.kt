package cowslipcart.daemon.gateway

import cowslipcart.daemon.control.RuntimeClock
import cowslipcart.daemon.http1.ByteSink
import cowslipcart.daemon.http1.ByteSource
import io.ktor.network.sockets.Socket
import io.ktor.utils.io.ByteChannel
import io.ktor.utils.io.invokeOnCompletion
import io.ktor.utils.io.isCompleted
import java.io.IOException
import kotlinx.coroutines.DisposableHandle
import kotlinx.coroutines.delay

/** The connection of a caller. */
internal class CallerSocket(
    private val socket: Socket,
    val sink: ByteSink,
    private val probe: ReadProbe,
    private val clock: RuntimeClock
) : CallerMonitor {
    private val channel = ByteChannel()
    private val reading = socket.attachForReading(channel)

    @Volatile
    override var closedAtMs: Long? = null
        private set

    val source = ByteSource(channel)

    init {
        onClose { markClosed() }
    }

    override val isClosed: Boolean get() = closedAtMs != null || reading.isCompleted

    override fun onClose(action: () -> Unit): DisposableHandle =
        reading.invokeOnCompletion { _ -> action() }

    override suspend fun awaitClose() {
        try {
            source.awaitClose()
        } catch (_: IOException) {
            // A reset ends the connection like a close.
        }
        markClosed()
    }

    /** The end is seen in the channel shortly before or after the job that reads is complete. */
    private fun markClosed() {
        if (closedAtMs == null) closedAtMs = clock.nowMs()
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

    private companion object {
        /** Time in which waiting bytes are read on a host that is not behind, in ms. */
        const val FIRST_PAUSE_MS = 2L

        /** Bounds the delay of a request after the bytes behind it were read, in ms. */
        const val MAX_PAUSE_MS = 32L
    }
}
