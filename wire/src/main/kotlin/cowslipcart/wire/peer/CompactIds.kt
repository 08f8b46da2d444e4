package cowslipcart.wire.peer

import cowslipcart.core.claims.ProcessId
import cowslipcart.core.model.GrantId
import cowslipcart.core.model.HostId
import cowslipcart.core.model.IncarnationId
import cowslipcart.core.model.PrefixBlock
import cowslipcart.core.model.RequestId
import cowslipcart.core.origin.originOf
import cowslipcart.core.origin.requestIdOf
import java.nio.ByteBuffer
import java.util.UUID

/**
 * Encodes ids, addresses and hashes in fewer bytes than their text. The first byte tells the form:
 * [NUMERIC] is used if decoding gives exactly the same text again, else [TEXT].
 */
internal object CompactIds {
    private const val TEXT: Byte = 0
    private const val NUMERIC: Byte = 1
    private const val IPV4_OCTETS = 4
    private const val BITS_PER_BYTE = 8

    /**
     * Encodes a request id without its origin. [host] must be the origin: sender and receiver know
     * it. Takes 9 to 17 bytes in numeric form.
     */
    fun encode(id: RequestId, host: HostId): ByteArray {
        val process = originOf(id)
        val number = id.value.substringAfterLast('~').toLongOrNull()
        val isCompact = process?.host == host && number != null && number >= 0 &&
            requestIdOf(process, number) == id
        if (!isCompact) return encodeText(id.value)
        return encodeNumbers(checkNotNull(process).incarnation.value, checkNotNull(number))
    }

    fun decodeRequestId(bytes: ByteArray, host: HostId): RequestId =
        decodeId(bytes, { RequestId(it) }) { incarnation, number ->
            requestIdOf(ProcessId(host, IncarnationId(incarnation)), number)
        }

    /** Takes 9 to 17 bytes in numeric form. */
    fun encode(id: GrantId): ByteArray {
        val prefix = id.value.substringBefore('-').toULongOrNull(radix = 16)
        val number = id.value.substringAfter('-', "").toLongOrNull()
        val isCompact = prefix != null && number != null && number >= 0 &&
            grantIdOf(prefix.toLong(), number) == id
        if (!isCompact) return encodeText(id.value)
        return encodeNumbers(checkNotNull(prefix).toLong(), checkNotNull(number))
    }

    fun decodeGrantId(bytes: ByteArray): GrantId = decodeId(bytes, { GrantId(it) }, ::grantIdOf)

    /** An IPv4 address with its port takes 7 bytes. */
    fun encodeAddress(address: String): ByteArray {
        val octets = address.substringBeforeLast(':').split('.').mapNotNull { it.toUByteOrNull() }
        val port = address.substringAfterLast(':', "").toUShortOrNull()
        if (octets.size != IPV4_OCTETS || port == null) return encodeText(address)
        val bytes = ByteBuffer.allocate(1 + IPV4_OCTETS + Short.SIZE_BYTES).put(NUMERIC)
        octets.forEach { bytes.put(it.toByte()) }
        val encoded = bytes.putShort(port.toShort()).array()
        return if (decodeAddress(encoded) == address) encoded else encodeText(address)
    }

    fun decodeAddress(bytes: ByteArray): String {
        if (isText(bytes)) return bytes.decodeToString(startIndex = 1)
        require(bytes.size == 1 + IPV4_OCTETS + Short.SIZE_BYTES) {
            "expected an address of 7 bytes, found ${bytes.size}"
        }
        val octets = bytes.slice(1..IPV4_OCTETS).map { it.toUByte() }
        val port = ByteBuffer.wrap(bytes).getShort(1 + IPV4_OCTETS).toUShort()
        return octets.joinToString(".") + ":$port"
    }

    /** A UUID in its usual form takes 17 bytes. */
    fun encodeUuid(uuid: String): ByteArray {
        val parsed = try {
            UUID.fromString(uuid)
        } catch (_: IllegalArgumentException) {
            return encodeText(uuid)
        }
        if (parsed.toString() != uuid) return encodeText(uuid)
        return ByteBuffer.allocate(1 + 2 * Long.SIZE_BYTES).put(NUMERIC)
            .putLong(parsed.mostSignificantBits).putLong(parsed.leastSignificantBits).array()
    }

    fun decodeUuid(bytes: ByteArray): String {
        if (isText(bytes)) return bytes.decodeToString(startIndex = 1)
        require(bytes.size == 1 + 2 * Long.SIZE_BYTES) {
            "expected a UUID of 17 bytes, found ${bytes.size}"
        }
        val buffer = ByteBuffer.wrap(bytes)
        return UUID(buffer.getLong(1), buffer.getLong(1 + Long.SIZE_BYTES)).toString()
    }

    /** A hash of 16 hex digits takes 9 bytes. */
    fun encodeHash(hash: String): ByteArray {
        val value = hash.toULongOrNull(radix = 16)?.toLong()
        if (value == null || hashOf(value) != hash) return encodeText(hash)
        return ByteBuffer.allocate(1 + Long.SIZE_BYTES).put(NUMERIC).putLong(value).array()
    }

    fun decodeHash(bytes: ByteArray): String {
        if (isText(bytes)) return bytes.decodeToString(startIndex = 1)
        require(bytes.size == 1 + Long.SIZE_BYTES) {
            "expected a hash of 9 bytes, found ${bytes.size}"
        }
        return hashOf(ByteBuffer.wrap(bytes).getLong(1))
    }

    private fun hashOf(value: Long) =
        value.toULong().toString(radix = 16).padStart(2 * Long.SIZE_BYTES, '0')

    /** Each block takes 8 bytes; there is no byte for the form. */
    fun encodeBlocks(blocks: List<PrefixBlock>): ByteArray {
        val buffer = ByteBuffer.allocate(blocks.size * Long.SIZE_BYTES)
        blocks.forEach { buffer.putLong(it.value) }
        return buffer.array()
    }

    fun decodeBlocks(bytes: ByteArray): List<PrefixBlock> {
        require(bytes.size % Long.SIZE_BYTES == 0) {
            "expected a multiple of 8 bytes of hashes, found ${bytes.size}"
        }
        val buffer = ByteBuffer.wrap(bytes)
        return List(bytes.size / Long.SIZE_BYTES) { PrefixBlock(buffer.getLong()) }
    }

    private fun grantIdOf(prefix: Long, number: Long) =
        GrantId("${prefix.toULong().toString(16)}-$number")

    private fun isText(bytes: ByteArray): Boolean {
        require(bytes.isNotEmpty()) { "expected an id of at least 1 byte, found 0" }
        return bytes[0] == TEXT
    }

    private fun encodeText(value: String): ByteArray = byteArrayOf(TEXT) + value.encodeToByteArray()

    /** The 8 bytes of [prefix], then [number] without its leading zero bytes. */
    private fun encodeNumbers(prefix: Long, number: Long): ByteArray {
        val bytes = ByteBuffer.allocate(1 + 2 * Long.SIZE_BYTES)
            .put(NUMERIC).putLong(prefix).putLong(number).array()
        val zeroBytes = java.lang.Long.numberOfLeadingZeros(number) / BITS_PER_BYTE
        val headerBytes = 1 + Long.SIZE_BYTES
        return bytes.copyOfRange(0, headerBytes) +
            bytes.copyOfRange(headerBytes + zeroBytes, bytes.size)
    }

    private fun <T> decodeId(
        bytes: ByteArray,
        ofText: (String) -> T,
        ofNumbers: (Long, Long) -> T
    ): T {
        val minSize = 1 + Long.SIZE_BYTES
        if (isText(bytes)) return ofText(bytes.decodeToString(startIndex = 1))
        require(bytes.size in minSize..minSize + Long.SIZE_BYTES) {
            "expected an id of $minSize to ${minSize + Long.SIZE_BYTES} bytes, found ${bytes.size}"
        }
        val number = bytes.drop(minSize)
            .fold(0L) { sum, byte -> (sum shl BITS_PER_BYTE) or byte.toUByte().toLong() }
        return ofNumbers(ByteBuffer.wrap(bytes).getLong(1), number)
    }
}
