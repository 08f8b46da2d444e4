package cowslipcart.standins.engine

import cowslipcart.core.model.RequestId

/** Something that happened in an [EngineModel] at [atMs]. */
public sealed interface EngineEvent {
    /** Time of the event, rounded up to whole milliseconds. */
    public val atMs: Long

    /** One output token of a stream; [sequence] counts from 0. */
    public data class Token(
        override val atMs: Long,
        public val requestId: RequestId,
        public val sequence: Int
    ) : EngineEvent

    /**
     * A stream ended with its whole answer.
     *
     * @property prefillTokens prompt tokens including the cached ones
     * @property cachedTokens prompt tokens taken from the prefix cache when the stream started
     * @property rereadTokens tokens read again because the cache had lost them before a resume
     */
    public data class Finished(
        override val atMs: Long,
        public val requestId: RequestId,
        public val prefillTokens: Int,
        public val cachedTokens: Int,
        public val outputTokens: Int,
        public val rereadTokens: Int
    ) : EngineEvent

    /**
     * The engine crashed and lost its batch, its cache and all resume handles.
     *
     * @property trigger the request that caused the crash; null if the crash was injected
     * @property lost requests that were running or waiting, [trigger] included
     */
    public data class Crashed(
        override val atMs: Long,
        public val trigger: RequestId?,
        public val lost: List<RequestId>
    ) : EngineEvent

    /** An accepted order is in force. */
    public data class OrderApplied(override val atMs: Long, public val order: EngineOrder) :
        EngineEvent
}
