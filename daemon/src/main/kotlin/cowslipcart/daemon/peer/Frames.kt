package cowslipcart.daemon.peer

import cowslipcart.daemon.http1.ByteSink
import cowslipcart.wire.peer.EnvelopePeerCodec
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.readByteArray
import io.ktor.utils.io.readInt
import java.io.ByteArrayOutputStream
import java.io.DataOutputStream
import java.io.IOException

/** Invalid length of a frame; the rest of the connection cannot be read. */
internal class FrameLengthException(found: Int) :
    IOException("expected a frame of 0 to ${EnvelopePeerCodec.MAX_FRAME_BYTES} bytes, found $found")

/** Reads a frame: 4-byte big-endian length, then the bytes. */
internal suspend fun ByteReadChannel.readFrame(): ByteArray {
    val length = readInt()
    if (length !in 0..EnvelopePeerCodec.MAX_FRAME_BYTES) throw FrameLengthException(length)
    return readByteArray(length)
}

/** Sends frames on [sink], those between two calls of [flush] together. */
internal class FrameWriter(private val sink: ByteSink) {
    private val pending = ByteArrayOutputStream()
    private val output = DataOutputStream(pending)

    /** Adds a frame; sends if many bytes are pending. */
    suspend fun write(bytes: ByteArray) {
        output.writeInt(bytes.size)
        output.write(bytes)
        if (pending.size() >= MAX_PENDING_BYTES) flush()
    }

    /** Sends the pending frames. */
    suspend fun flush() {
        sink.send(pending.toByteArray())
        pending.reset()
    }

    private companion object {
        const val MAX_PENDING_BYTES = 65_536
    }
}
