package cowslipcart.standins.engine

import cowslipcart.core.capacity.CapacityRequest.Companion.PREFIX_BLOCK_TOKENS
import cowslipcart.core.membership.stableHash
import cowslipcart.core.model.PrefixBlock

/**
 * One stream of an engine, running or cancelled. Its context is the prompt and what was generated;
 * the context has to be read before the next token can be generated.
 */
internal class EngineStream(val request: EngineRequest) {
    val promptTokens: Int = request.promptTokens.coerceAtLeast(1)
    var outputTokens: Int = 0
    var cachedTokens: Int = 0
    var rereadTokens: Int = 0

    /** Context tokens read in this run, cached ones included. */
    var readTokens: Int = 0

    /** Length of the context; all of it is read before the next token. */
    var contextTokens: Int = promptTokens

    /** Context tokens that the step in progress reads. */
    var plannedTokens: Int = 0

    /** Whether the prefix cache was searched in this run. */
    var isCacheSearched: Boolean = false

    /** Whether this run continues a cancelled one. */
    var isResumed: Boolean = false

    /** Context tokens that were read before the last cancel. */
    private var tokensReadBeforeCancel: Int = 0

    val isFinished: Boolean get() = outputTokens >= request.outputTokens
    val unreadTokens: Int get() = contextTokens - readTokens

    /** Number of prompt blocks that other requests can share. */
    val sharedBlockCount: Int = minOf(request.prefixBlocks.size, promptTokens / PREFIX_BLOCK_TOKENS)

    /** Number of whole context blocks read so far. */
    val readBlockCount: Int get() = readTokens / PREFIX_BLOCK_TOKENS

    private val privateSeed: Long by lazy { stableHash(request.id.value) }

    /** Block [index] of the context; blocks beyond the shared ones belong to this stream only. */
    fun block(index: Int): PrefixBlock = if (index < sharedBlockCount) {
        request.prefixBlocks[index]
    } else {
        PrefixBlock(privateSeed + index * PRIVATE_BLOCK_STRIDE)
    }

    /** Counts [matchedTokens] of the context, found in the prefix cache, as read in this run. */
    fun applyCacheMatch(matchedTokens: Int) {
        readTokens = minOf(matchedTokens, contextTokens - 1)
        isCacheSearched = true
        if (isResumed) {
            rereadTokens += (tokensReadBeforeCancel - readTokens).coerceAtLeast(0)
        } else {
            cachedTokens = readTokens
        }
    }

    /** Prepares the stream to read its context again after a cancel. */
    fun prepareResume() {
        isResumed = true
        tokensReadBeforeCancel = readTokens
        contextTokens = promptTokens + outputTokens
        readTokens = 0
        plannedTokens = 0
        isCacheSearched = false
    }

    private companion object {
        /** Odd 64-bit constant (golden ratio), so that the blocks of two streams do not meet. */
        const val PRIVATE_BLOCK_STRIDE = -0x61c8864680b583ebL
    }
}
