package cowslipcart.systemtest

import java.io.DataInputStream
import java.io.EOFException
import java.io.IOException
import java.net.InetAddress
import java.net.Socket
import java.net.SocketTimeoutException
import javax.crypto.Mac
import javax.crypto.spec.SecretKeySpec

/** A connection on which a test sends bytes that no client library would send. */
internal class RawSocket(port: Int) : AutoCloseable {
    private val socket = Socket(InetAddress.getLoopbackAddress(), port).apply {
        soTimeout = READ_TIMEOUT_MS
    }
    private val input = DataInputStream(socket.getInputStream())

    /** Sends [bytes]; ignores errors, as the other side may have closed the connection. */
    fun send(bytes: ByteArray) {
        try {
            socket.getOutputStream().write(bytes)
            socket.getOutputStream().flush()
        } catch (_: IOException) {
            return
        }
    }

    /** Closes the sending direction of the connection. */
    fun endOutput() {
        try {
            socket.shutdownOutput()
        } catch (_: IOException) {
            return
        }
    }

    /** Reads to the end of the connection; fails if it stays open. */
    fun readToEnd(): ByteArray = try {
        input.readAllBytes()
    } catch (e: SocketTimeoutException) {
        throw AssertionError("expected a closed connection, found it open", e)
    } catch (_: IOException) {
        ByteArray(0)
    }

    /** Returns the next frame of the peer protocol, or null at the end of the connection. */
    fun readFrame(): ByteArray? = try {
        ByteArray(input.readInt()).also { input.readFully(it) }
    } catch (_: EOFException) {
        null
    }

    override fun close() = socket.close()

    private companion object {
        const val READ_TIMEOUT_MS = 20_000
    }
}

/** A frame of the peer protocol: 4-byte big-endian length, then the bytes. */
internal fun frame(bytes: ByteArray): ByteArray = lengthOf(bytes.size) + bytes

/** Encodes the length of a frame as 4 big-endian bytes. */
internal fun lengthOf(length: Int): ByteArray =
    ByteArray(4) { (length ushr (8 * (3 - it))).toByte() }

/** HMAC with which the host that opens a peer connection proves that it knows [secret]. */
internal fun clientProof(
    secret: String,
    serverNonce: ByteArray,
    clientNonce: ByteArray,
    host: String
): ByteArray {
    val mac = Mac.getInstance("HmacSHA256")
    mac.init(SecretKeySpec(secret.encodeToByteArray(), "HmacSHA256"))
    mac.update("client".encodeToByteArray())
    mac.update(serverNonce)
    mac.update(clientNonce)
    mac.update(host.encodeToByteArray())
    return mac.doFinal()
}
