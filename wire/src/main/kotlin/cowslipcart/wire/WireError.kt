package cowslipcart.wire

/** Why a message of a peer, a log record or a document could not be decoded. */
public sealed interface WireError {
    /** What was expected and what was found, for logs and error replies. */
    public val message: String

    /** The bytes are not a message of the expected form. */
    public data class Malformed(override val message: String) : WireError

    /** The bytes were written in another version of the format. */
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
