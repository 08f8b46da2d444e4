package cowslipcart.standins.engine

import cowslipcart.core.model.PrefixBlock
import cowslipcart.core.model.RequestId

/**
 * A request to an engine.
 *
 * @property promptTokens length of the prompt; an empty prompt counts as one token
 * @property outputTokens length of the answer; at least 1
 * @property prefixBlocks hashes of the prompt's prefixes, as in `CapacityRequest.prefixBlocks`
 * @property isPoison whether the engine crashes at the end of the first step that reads the prompt
 */
public data class EngineRequest(
    public val id: RequestId,
    public val promptTokens: Int,
    public val outputTokens: Int,
    public val prefixBlocks: List<PrefixBlock> = emptyList(),
    public val isPoison: Boolean = false
) {
    init {
        require(promptTokens >= 0) { "promptTokens: expected at least 0, got $promptTokens" }
        require(outputTokens >= 1) { "outputTokens: expected at least 1, got $outputTokens" }
    }
}

/**
 * State of a stream when it was cancelled.
 *
 * @property prefillTokens prompt tokens read so far, cached ones included
 * @property cachedTokens prompt tokens taken from the prefix cache
 * @property outputTokens tokens generated so far; the stream can be resumed from
 * 0 up to this number
 */
public data class CancelledStream(
    public val id: RequestId,
    public val prefillTokens: Int,
    public val cachedTokens: Int,
    public val outputTokens: Int
)
