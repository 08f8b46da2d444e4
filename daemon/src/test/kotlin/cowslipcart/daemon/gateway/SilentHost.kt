package cowslipcart.daemon.gateway

import cowslipcart.daemon.peer.Handshake
import java.io.DataInputStream
import java.io.DataOutputStream
import java.io.IOException
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import kotlin.concurrent.thread

/** A host on loopback that accepts the connections of other hosts and reads no message. */
internal class SilentHost : AutoCloseable {
    private val server = ServerSocket()
    val handshake = Handshake("secret")
    val address: String get() = "127.0.0.1:${server.localPort}"

    init {
        server.receiveBufferSize = RECEIVE_BUFFER_BYTES
        server.bind(InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
        thread(isDaemon = true) {
            try {
                while (true) server.accept().let { authenticate(it) }
            } catch (_: IOException) {
                return@thread
            }
        }
    }

    private fun authenticate(socket: Socket) {
        val input = DataInputStream(socket.getInputStream())
        val output = DataOutputStream(socket.getOutputStream())
        val serverNonce = handshake.newNonce()
        output.writeFrame(serverNonce)
        input.readFrame()
        val clientNonce = input.readFrame()
        input.readFrame()
        output.writeFrame(NAME.toByteArray())
        output.writeFrame(handshake.serverProof(serverNonce, clientNonce, NAME))
    }

    private fun DataInputStream.readFrame() = ByteArray(readInt()).also { readFully(it) }

    private fun DataOutputStream.writeFrame(bytes: ByteArray) {
        writeInt(bytes.size)
        write(bytes)
    }

    override fun close() = server.close()

    private companion object {
        const val NAME = "silent"
        const val RECEIVE_BUFFER_BYTES = 4_096
    }
}
