package cowslipcart.daemon.peer

import cowslipcart.wire.peer.EnvelopePeerCodec
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.readByteArray
import io.ktor.utils.io.readInt
import io.ktor.utils.io.writeFully
import io.ktor.utils.io.writeInt
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

/** Writes a frame without flushing. */
internal suspend fun ByteWriteChannel.writeFrame(bytes: ByteArray) {
    writeInt(bytes.size)
    writeFully(bytes)
}
