package cowslipcart.wire.content

import cowslipcart.core.capacity.CapacityRequest
import cowslipcart.core.membership.stableHash
import cowslipcart.core.model.Fingerprint
import cowslipcart.core.model.OrganisationId
import cowslipcart.core.model.PrefixBlock
import java.security.MessageDigest

/**
 * Fingerprint of a request: the first 8 bytes of a SHA-256 over its organisation, a zero byte and
 * its [content], as 16 hex digits.
 */
public fun fingerprintOf(organisation: OrganisationId, content: ByteArray): Fingerprint {
    val digest = MessageDigest.getInstance("SHA-256")
    digest.update(organisation.value.encodeToByteArray())
    digest.update(0)
    digest.update(content)
    val hex = digest.digest().take(FINGERPRINT_BYTES).joinToString("") { "%02x".format(it) }
    return Fingerprint(hex)
}

/** Estimates the tokens of [prompt] as one per word; words are separated by white space. */
public fun countTokens(prompt: String): Int = WORD.findAll(prompt).count()

/**
 * Hashes of the first [MAX_PREFIX_BLOCKS] block prefixes of [prompt]. Prompts that differ only
 * after those have the same hashes and can differ only in [countTokens].
 */
public fun prefixBlocksOf(prompt: String): List<PrefixBlock> =
    prefixBlocks(WORD.findAll(prompt).map { it.value }).take(MAX_PREFIX_BLOCKS).toList()

/**
 * Hashes of the prefixes of [words] at each multiple of [CapacityRequest.PREFIX_BLOCK_TOKENS], 64,
 * words. The hash of a prefix is the [stableHash] of the text
 * "H W": H is the hash of the prefix without its last word in decimal digits (0 before the first
 * word), W is the last word.
 */
public fun prefixBlocks(words: Sequence<String>): Sequence<PrefixBlock> = sequence {
    var hash = 0L
    words.forEachIndexed { index, word ->
        hash = stableHash("$hash $word")
        if ((index + 1) % CapacityRequest.PREFIX_BLOCK_TOKENS == 0) yield(PrefixBlock(hash))
    }
}

private val WORD = Regex("\\S+")
private const val FINGERPRINT_BYTES = 8

/** A block takes 9 bytes, so the blocks of a request add at most 3 KB to a message. */
private const val MAX_PREFIX_BLOCKS = 320
