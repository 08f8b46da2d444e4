package cowslipcart.standins.engine

import cowslipcart.core.model.PrefixBlock

/**
 * Load report of an engine.
 *
 * @property ageMs age of [runningCount] and [waitingTokens]; [isLeaving] is always current
 * @property runningCount requests that were running or waiting
 * @property waitingTokens prompt tokens that were not yet read
 */
public data class EngineLoad(
    public val ageMs: Long,
    public val runningCount: Int,
    public val waitingTokens: Long,
    public val isLeaving: Boolean
)

/** A change of the prefix cache; [index] counts all changes, so that a lost one leaves a gap. */
public data class EngineCacheEvent(
    public val index: Long,
    public val block: PrefixBlock,
    public val isStored: Boolean
)

/**
 * Cache events that are due, in order.
 *
 * @property nextIndex index from which to read next time
 */
public data class CacheEventPage(
    public val events: List<EngineCacheEvent>,
    public val nextIndex: Long
)
