package cowslipcart.standins.engine

import cowslipcart.core.model.RequestId

/** Refusal of a call to an [EngineModel]; the call changed nothing. */
public sealed interface EngineError {
    /** The engine has crashed and was not restarted. */
    public data object Down : EngineError

    /** A stream with this id is running. */
    public data class AlreadyRunning(public val id: RequestId) : EngineError

    /** No stream with this id is running. */
    public data class NotRunning(public val id: RequestId) : EngineError

    /** There is no resume handle, or it has expired. */
    public data class NotResumable(public val id: RequestId) : EngineError

    /** The stream has not reached this sequence number. */
    public data class SequenceAhead(
        public val id: RequestId,
        public val expectedAtMost: Int,
        public val actual: Int
    ) : EngineError

    /** The order carries an old fencing number. */
    public data class StaleFencing(
        public val expectedAtLeast: FencingNumber,
        public val actual: FencingNumber
    ) : EngineError
}
