package cowslipcart.wire

/** Failure to decode bytes of a peer, a log record or a document. */
public sealed interface WireError {
    /** States the expected and the found value. */
    public val message: String

    /** The bytes are not a message of the expected form. */
    public data class Malformed(override val message: String) : WireError

    /** The sender uses another protocol version. */
    public data class UnknownVersion(public val expected: Int, public val found: Int) : WireError {
        override val message: String get() = "expected version $expected, found $found"
    }

    /** The message type is not known to this version. */
    public data class UnknownMessage(public val type: String) : WireError {
        override val message: String get() = "expected a known message type, found '$type'"
    }

    /** The frame is larger than allowed. */
    public data class TooLarge(public val maxBytes: Int, public val foundBytes: Int) : WireError {
        override val message: String get() = "expected at most $maxBytes bytes, found $foundBytes"
    }
}
