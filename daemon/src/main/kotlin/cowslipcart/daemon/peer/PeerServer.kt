package cowslipcart.daemon.peer

import cowslipcart.core.host.HostInput
import cowslipcart.core.model.HostId
import cowslipcart.daemon.Metrics
import cowslipcart.daemon.SocketAddressSetting
import cowslipcart.daemon.http1.SocketSink
import cowslipcart.daemon.repeatGuarded
import cowslipcart.wire.WireError
import cowslipcart.wire.peer.EnvelopePeerCodec
import cowslipcart.wire.peer.PeerProtocol
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openReadChannel
import io.ktor.utils.io.ByteReadChannel
import java.io.IOException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.TimeoutCancellationException
import kotlinx.coroutines.launch
import kotlinx.coroutines.supervisorScope
import kotlinx.coroutines.withTimeout
import org.slf4j.LoggerFactory

/** Accepts connections of other hosts and delivers their messages. */
internal class PeerServer(
    private val self: HostId,
    private val handshake: Handshake,
    private val metrics: Metrics,
    private val versions: PeerVersions,
    private val selector: SelectorManager,
    private val inbox: PeerInbox
) {
    private val log = LoggerFactory.getLogger(PeerServer::class.java)

    /** Accepts connections on [server] in [scope]. */
    fun start(scope: CoroutineScope, server: ServerSocket) {
        scope.launch { accept(server) }
    }

    /** A failed connection ends neither the others nor the accept loop. */
    private suspend fun accept(server: ServerSocket) = supervisorScope {
        repeatGuarded(log, "accepting of peers") {
            val socket = server.accept()
            launch { serve(socket) }
        }
    }

    private suspend fun serve(socket: Socket) {
        // Read before use: a closed socket has no address, and the log lines below need it.
        var address = "an unknown address"
        try {
            socket.use {
                address = socket.remoteAddress.toString()
                val reader = it.openReadChannel()
                val writer = FrameWriter(SocketSink(it, selector))
                val peer = withTimeout(HANDSHAKE_TIMEOUT_MS) { authenticate(reader, writer) }
                if (peer == null) {
                    metrics.peerErrors.labelValues("authentication").inc()
                    log.warn("peer at {} does not know the shared secret", address)
                } else {
                    readFrames(peer, reader, writer)
                }
            }
        } catch (e: FrameLengthException) {
            metrics.peerErrors.labelValues("frame-length").inc()
            log.warn("peer at {} sent a frame of invalid length: {}", address, e.message)
        } catch (e: TimeoutCancellationException) {
            metrics.peerErrors.labelValues("timeout").inc()
            log.debug("handshake with {} timed out: {}", address, e.message)
        } catch (e: IOException) {
            log.debug("peer at {} closed the connection: {}", address, e.message)
        }
    }

    /** Returns the authenticated host, or null if its proof is wrong. */
    private suspend fun authenticate(reader: ByteReadChannel, writer: FrameWriter): HostId? {
        val serverNonce = handshake.newNonce()
        writer.write(serverNonce)
        writer.flush()
        val host = reader.readFrame().decodeToString()
        val clientNonce = reader.readFrame()
        val proof = reader.readFrame()
        if (!handshake.isEqual(handshake.clientProof(serverNonce, clientNonce, host), proof)) {
            return null
        }
        writer.write(self.value.encodeToByteArray())
        writer.write(handshake.serverProof(serverNonce, clientNonce, self.value))
        writer.flush()
        return HostId(host)
    }

    private suspend fun readFrames(peer: HostId, reader: ByteReadChannel, writer: FrameWriter) {
        while (true) {
            val frame = reader.readFrame()
            metrics.peerFrames.labelValues("received").inc()
            metrics.peerBytes.labelValues("received").inc(frame.size.toLong())
            PeerProtocol.decode(frame, peer, self).fold(
                { error -> reportError(peer, error, writer) },
                { decoded ->
                    val message = decoded.message
                    if (message == null) {
                        metrics.peerErrors.labelValues("reported").inc()
                    } else if (decoded.from != peer) {
                        metrics.peerErrors.labelValues("sender").inc()
                    } else {
                        versions.learn(peer, decoded.newestVersion)
                        inbox.deliver(HostInput.PeerMessageReceived(peer, message))
                    }
                }
            )
        }
    }

    private suspend fun reportError(peer: HostId, error: WireError, writer: FrameWriter) {
        metrics.peerErrors.labelValues("decode").inc()
        log.warn("message of peer {} cannot be decoded: {}", peer, error.message)
        writer.write(EnvelopePeerCodec.encodeError(self, error))
        writer.flush()
    }

    private companion object {
        const val HANDSHAKE_TIMEOUT_MS = 2_000L
    }
}

/** Binds the peer socket before the host has an identity, which contains the bound port. */
internal class PeerListener(private val selector: SelectorManager) {
    /** Binds [listen]; port 0 selects a free port. */
    suspend fun bind(listen: SocketAddressSetting): ServerSocket =
        aSocket(selector).tcp().bind(listen.ip, listen.port)
}

/** Port that the socket is bound to. */
internal val ServerSocket.boundPort: Int get() = (localAddress as InetSocketAddress).port
