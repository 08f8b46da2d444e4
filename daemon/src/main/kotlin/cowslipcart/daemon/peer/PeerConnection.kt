package cowslipcart.daemon.peer

import cowslipcart.core.model.HostId
import cowslipcart.daemon.Metrics
import cowslipcart.daemon.http1.SocketSink
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openReadChannel
import io.ktor.utils.io.ByteReadChannel
import java.io.IOException
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.BufferOverflow
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeout
import org.slf4j.LoggerFactory

/**
 * Outgoing connection to one address, reopened after a failure. Frames wait in a bounded queue;
 * when it is full the oldest are dropped, since the controller resends what must arrive.
 */
internal class PeerConnection(
    private val self: HostId,
    private val address: String,
    private val handshake: Handshake,
    private val selector: SelectorManager,
    private val metrics: Metrics
) {
    private val log = LoggerFactory.getLogger(PeerConnection::class.java)
    private val frames = Channel<ByteArray>(QUEUE_CAPACITY, BufferOverflow.DROP_OLDEST)

    /** Queues a frame; never blocks. */
    fun send(frame: ByteArray) {
        frames.trySend(frame)
    }

    /** Connects and sends queued frames in [scope] until the returned job is cancelled. */
    fun start(scope: CoroutineScope) = scope.launch {
        while (isActive) {
            val first = frames.receive()
            try {
                connect().use { socket -> writeFrames(socket, first) }
            } catch (e: IOException) {
                metrics.peerErrors.labelValues("connection").inc()
                log.debug("connection to peer {} failed: {}", address, e.message)
                delay(RETRY_DELAY_MS)
            } catch (e: CancellationException) {
                // Rethrown if this job was cancelled. Otherwise a timeout passed or the socket
                // cancelled its channel, and the connection is opened again.
                currentCoroutineContext().ensureActive()
                metrics.peerErrors.labelValues("cancelled").inc()
                log.debug("connection to peer {} was cancelled: {}", address, e.message)
                delay(RETRY_DELAY_MS)
            }
        }
    }

    private suspend fun connect(): Socket {
        val host = address.substringBeforeLast(':')
        val port = address.substringAfterLast(':').toInt()
        return withTimeout(CONNECT_TIMEOUT_MS) {
            aSocket(selector).tcp().connect(host, port) { noDelay = true }
        }
    }

    private suspend fun writeFrames(socket: Socket, first: ByteArray) {
        val reader = socket.openReadChannel()
        val writer = FrameWriter(SocketSink(socket, selector))
        withTimeout(CONNECT_TIMEOUT_MS) { authenticate(reader, writer) }
        var frame: ByteArray? = first
        while (frame != null) {
            writer.write(frame)
            metrics.peerFrames.labelValues("sent").inc()
            metrics.peerBytes.labelValues("sent").inc((frame.size + LENGTH_BYTES).toLong())
            frame = frames.tryReceive().getOrNull()
            if (frame == null) {
                writer.flush()
                frame = frames.receive()
            }
        }
    }

    private suspend fun authenticate(reader: ByteReadChannel, writer: FrameWriter) {
        val serverNonce = reader.readFrame()
        val clientNonce = handshake.newNonce()
        writer.write(self.value.encodeToByteArray())
        writer.write(clientNonce)
        writer.write(handshake.clientProof(serverNonce, clientNonce, self.value))
        writer.flush()
        val serverHost = reader.readFrame().decodeToString()
        val expected = handshake.serverProof(serverNonce, clientNonce, serverHost)
        if (!handshake.isEqual(expected, reader.readFrame())) {
            throw IOException("wrong proof of the shared secret from $address")
        }
    }

    private companion object {
        const val QUEUE_CAPACITY = 1_024
        const val CONNECT_TIMEOUT_MS = 2_000L
        const val RETRY_DELAY_MS = 100L
        const val LENGTH_BYTES = 4
    }
}
