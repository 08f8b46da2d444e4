package cowslipcart.wire.content

import cowslipcart.core.capacity.CapacityRequest
import cowslipcart.core.membership.stableHash
import cowslipcart.core.model.Fingerprint
import cowslipcart.core.model.OrganisationId
import cowslipcart.core.model.PrefixBlock
import java.security.MessageDigest

/** Fingerprint of a request's content: 16 hex digits of a SHA-256. */
public fun fingerprintOf(organisation: OrganisationId, content: ByteArray): Fingerprint {
    val digest = MessageDigest.getInstance("SHA-256")
    digest.update(organisation.value.encodeToByteArray())
    digest.update(0)
    digest.update(content)
    val hex = digest.digest().take(FINGERPRINT_BYTES).joinToString("") { "%02x".format(it) }
    return Fingerprint(hex)
}

/** Estimated tokens of a prompt: one for each word. */
public fun countTokens(prompt: String): Int = WORD.findAll(prompt).count()

/**
 * Hashes of the prompt's prefixes, at most [MAX_PREFIX_BLOCKS]; longer prompts are told apart by
 * their length estimate only.
 */
public fun prefixBlocksOf(prompt: String): List<PrefixBlock> =
    prefixBlocks(WORD.findAll(prompt).map { it.value }).take(MAX_PREFIX_BLOCKS).toList()

/**
 * Hashes of the prefixes of [words] at each multiple of 64 words. The hash of a prefix is the
 * stable hash of the previous word's prefix hash in decimal digits (0 before the first word), a
 * space and the word.
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

/** 9 bytes a block: the blocks of one request take at most 3 KB of a message. */
private const val MAX_PREFIX_BLOCKS = 320
