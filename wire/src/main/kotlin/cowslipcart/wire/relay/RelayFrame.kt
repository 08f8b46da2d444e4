package cowslipcart.wire.relay

/**
 * Frame from a host that relays a connection: [HEADER_BYTES] bytes, and those of the endpoint.
 * Bytes in the other direction have no frames.
 */
public sealed interface RelayFrame {
    /** [count] bytes of the endpoint follow. */
    public data class Bytes(public val count: Int) : RelayFrame

    /** The endpoint has closed the connection in good order. */
    public data object End : RelayFrame

    /** The connection to the endpoint was lost. */
    public data object Lost : RelayFrame

    public companion object {
        public const val HEADER_BYTES: Int = 2

        /** Most bytes of the endpoint in one frame. */
        public const val MAX_BYTES: Int = 8_192

        private const val END = 0
        private const val LOST = 0xFFFF
        private const val BYTE_BITS = 8
        private const val BYTE_MASK = 0xFF

        /** Decodes a header of [HEADER_BYTES]. */
        public fun decode(header: ByteArray): RelayFrame {
            val high = header[0].toInt() and BYTE_MASK
            val value = (high shl BYTE_BITS) or (header[1].toInt() and BYTE_MASK)
            return when (value) {
                END -> End
                LOST -> Lost
                else -> Bytes(value)
            }
        }

        /** Encodes [bytes], from 1 to [MAX_BYTES] of them. */
        public fun encode(bytes: ByteArray): ByteArray {
            require(bytes.size in 1..MAX_BYTES) {
                "expected 1 to $MAX_BYTES bytes, found ${bytes.size}"
            }
            return header(bytes.size) + bytes
        }

        /** Encodes [End]. */
        public fun encodeEnd(): ByteArray = header(END)

        /** Encodes [Lost]. */
        public fun encodeLost(): ByteArray = header(LOST)

        private fun header(value: Int): ByteArray =
            byteArrayOf((value shr BYTE_BITS).toByte(), value.toByte())
    }
}
