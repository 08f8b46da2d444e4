package cowslipcart.standins.engine

import arrow.core.Either
import cowslipcart.core.model.RequestId

/**
 * Simulation of an inference engine, without input or output. It batches continuously, admits every
 * request, reads prompts first come first served within a token budget per step, and knows no
 * priorities.
 *
 * `nowMs` is monotonic time in milliseconds and must not decrease between calls. Before a call that
 * changes something at `nowMs`, [advance] must have been called up to that time, otherwise the
 * change takes effect in the step that was running at the last call. Equal calls give equal events.
 * Not thread-safe.
 */
public interface EngineModel {
    /** Time of the next event; null while the engine is idle or down. */
    public val nextEventMs: Long?

    /** Whether the engine has crashed and was not restarted. */
    public val isDown: Boolean

    /** Model, adapters, version and role in force. */
    public val deployment: EngineDeployment

    /** Requests that are running or waiting, in no particular order. */
    public val runningIds: Set<RequestId>

    /** Starts [request]. A resume handle with the same id is dropped. */
    public fun submit(request: EngineRequest, nowMs: Long): Either<EngineError, Unit>

    /** Stops a stream and keeps a resume handle for [EngineSettings.resumeHandleMs]. */
    public fun cancel(id: RequestId, nowMs: Long): Either<EngineError, CancelledStream>

    /**
     * Continues a cancelled stream. Tokens from [fromSequence] on that were generated before the
     * cancel are repeated at once. Context that the cache has lost is read again.
     */
    public fun resume(id: RequestId, fromSequence: Int, nowMs: Long): Either<EngineError, Unit>

    /** Accepts an order; [EngineEvent.OrderApplied] follows when it is in force. */
    public fun order(
        order: EngineOrder,
        fencing: FencingNumber,
        nowMs: Long
    ): Either<EngineError, Unit>

    /** Returns the events up to [nowMs] in the order of their times. */
    public fun advance(nowMs: Long): List<EngineEvent>

    /** Returns the latest load report. */
    public fun load(nowMs: Long): EngineLoad

    /** Returns the cache events from [fromIndex] on that are due. */
    public fun cacheEvents(fromIndex: Long, nowMs: Long): CacheEventPage

    /** Makes each step take [factor] times as long, from now on. [factor] must be positive. */
    public fun setSlowFactor(factor: Double, nowMs: Long)

    /** Sets whether the load report says that the engine is leaving. Running streams continue. */
    public fun setLeaving(isLeaving: Boolean)

    /** Crashes the engine. Returns null if it is down already. */
    public fun crash(nowMs: Long): EngineEvent.Crashed?

    /** Starts a crashed engine with an empty cache. Does nothing if it is up. */
    public fun restart(nowMs: Long)
}

/** Creates an idle engine. */
public fun createEngineModel(settings: EngineSettings): EngineModel = BatchingEngine(settings)
