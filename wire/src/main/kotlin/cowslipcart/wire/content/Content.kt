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
 * Hashes of the prompt's prefixes at each multiple of 64 words, at most [MAX_PREFIX_BLOCKS]; longer
 * prompts are told apart by their length estimate only.
 */
public fun prefixBlocksOf(prompt: String): List<PrefixBlock> {
    val blocks = mutableListOf<PrefixBlock>()
    var hash = 0L
    WORD.findAll(prompt).forEachIndexed { index, word ->
        if (blocks.size == MAX_PREFIX_BLOCKS) return blocks
        hash = stableHash("$hash ${word.value}")
        if ((index + 1) % CapacityRequest.PREFIX_BLOCK_TOKENS == 0) blocks += PrefixBlock(hash)
    }
    return blocks
}

private val WORD = Regex("\\S+")
private const val FINGERPRINT_BYTES = 8

/** 9 bytes a block: the blocks of one request take at most 3 KB of a message. */
private const val MAX_PREFIX_BLOCKS = 320
