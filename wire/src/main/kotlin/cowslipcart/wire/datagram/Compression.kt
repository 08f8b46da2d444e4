package cowslipcart.wire.datagram

import java.io.ByteArrayOutputStream
import java.util.zip.DataFormatException
import java.util.zip.Deflater
import java.util.zip.Inflater
import kotlinx.serialization.SerializationException

/** Compresses these bytes. */
internal fun ByteArray.deflate(): ByteArray {
    val deflater = Deflater(Deflater.BEST_SPEED)
    try {
        deflater.setInput(this)
        deflater.finish()
        val output = ByteArrayOutputStream()
        val buffer = ByteArray(BUFFER_BYTES)
        while (!deflater.finished()) output.write(buffer, 0, deflater.deflate(buffer))
        return output.toByteArray()
    } finally {
        deflater.end()
    }
}

/**
 * Expands bytes that [deflate] compressed. Throws a [SerializationException] if they are malformed
 * or give more than [maxBytes].
 */
internal fun ByteArray.inflate(maxBytes: Int): ByteArray {
    val inflater = Inflater()
    try {
        inflater.setInput(this)
        val output = ByteArrayOutputStream()
        val buffer = ByteArray(BUFFER_BYTES)
        while (!inflater.finished()) {
            val count = inflater.inflate(buffer)
            if (count == 0) throw SerializationException("expected more compressed bytes")
            output.write(buffer, 0, count)
            if (output.size() > maxBytes) {
                throw SerializationException("expected at most $maxBytes bytes, found more")
            }
        }
        return output.toByteArray()
    } catch (e: DataFormatException) {
        throw SerializationException("expected compressed bytes, found ${e.message}")
    } finally {
        inflater.end()
    }
}

private const val BUFFER_BYTES = 8_192
