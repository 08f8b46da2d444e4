package cowslipcart.core.origin

/** Reason why a caller gets a problem document instead of an answer. */
public sealed interface Rejection {
    /** Explanation for the caller. */
    public val detail: String

    /**
     * The request did not run and will not run.
     *
     * @property retryAfterMs time after which a retry can succeed; null if it cannot
     */
    public data class NotRun(override val detail: String, public val retryAfterMs: Long?) :
        Rejection

    /** The request was started and its outcome is not known here. */
    public data class OutcomeUnknown(override val detail: String) : Rejection

    /** An earlier attempt with the same key is still running. */
    public data class StillRunning(override val detail: String, public val retryAfterMs: Long) :
        Rejection

    /** A limit of the organisation is used up; the request did not run. */
    public data class LimitExceeded(override val detail: String, public val retryAfterMs: Long) :
        Rejection

    /** The content crashed two endpoints; the request did not run. */
    public data class Quarantined(override val detail: String) : Rejection

    /** The request itself is invalid; it did not run. */
    public data class BadRequest(override val detail: String) : Rejection
}
