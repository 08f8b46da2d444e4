package cowslipcart.core.claims

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import cowslipcart.core.membership.stableHash
import cowslipcart.core.model.OrganisationId

/** Reason why an idempotency key is not a UUIDv7. */
public sealed interface KeyFormatError {
    /** Error text with the expected and the found value. */
    public val message: String

    /** The text is not 32 hex digits in groups of 8-4-4-4-12. */
    public data class NotUuid(public val found: String) : KeyFormatError {
        override val message: String
            get() = "expected a UUID of 36 characters in groups of 8-4-4-4-12 hex digits, " +
                "found '${found.take(MAX_QUOTED_CHARS)}' of ${found.length} characters"
    }

    /** The UUID has another version than 7. */
    public data class WrongVersion(public val found: Char) : KeyFormatError {
        override val message: String get() = "expected UUID version 7, found version $found"
    }

    /** The UUID has another variant than that of RFC 9562. */
    public data class WrongVariant(public val found: Char) : KeyFormatError {
        override val message: String
            get() = "expected UUID variant digit 8, 9, a or b, found $found"
    }
}

/**
 * Parses an `Idempotency-Key` of [organisation]. Hex digits may have either case; the key holds
 * the lower-case form, so that both spellings give the same key.
 */
public fun parseRequestKey(
    organisation: OrganisationId,
    text: String
): Either<KeyFormatError, RequestKey> {
    val uuid = text.lowercase()
    if (!UUID_PATTERN.matches(uuid)) return KeyFormatError.NotUuid(text).left()
    if (uuid[VERSION_INDEX] != '7') return KeyFormatError.WrongVersion(uuid[VERSION_INDEX]).left()
    if (uuid[VARIANT_INDEX] !in "89ab") {
        return KeyFormatError.WrongVariant(uuid[VARIANT_INDEX]).left()
    }
    // RFC 9562: the first 48 bits of a UUIDv7 are milliseconds since 1970.
    val keyTimeMs = (uuid.substring(0, 8) + uuid.substring(9, 13)).toLong(radix = 16)
    return RequestKey(organisation, uuid, keyTimeMs).right()
}

/** Returns the partition below [partitionCount] whose log stream holds the claims of [key]. */
public fun partitionOf(key: RequestKey, partitionCount: Int): Int {
    require(partitionCount > 0) { "expected a positive partition count, found $partitionCount" }
    return Math.floorMod(stableHash(hashInput(key)), partitionCount)
}

/** Text to hash for [key]; unique across organisations. */
internal fun hashInput(key: RequestKey): String = "${key.organisation}/${key.uuid}"

private val UUID_PATTERN = Regex("[0-9a-f]{8}(-[0-9a-f]{4}){3}-[0-9a-f]{12}")
private const val VERSION_INDEX = 14
private const val VARIANT_INDEX = 19
private const val MAX_QUOTED_CHARS = 64
