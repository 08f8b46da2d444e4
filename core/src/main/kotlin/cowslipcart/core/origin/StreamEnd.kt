package cowslipcart.core.origin

import cowslipcart.core.capacity.GrantReport

/**
 * How the exchange with an endpoint ended, as the traffic threads saw it. The grant id of [report]
 * is that of the dispatch.
 */
public sealed interface StreamEnd {
    /** Measurements of the exchange. */
    public val report: GrantReport

    /** The whole answer arrived; [answer] is null if it is too large to keep. */
    public data class Completed(
        override val report: GrantReport,
        public val answer: StoredAnswer?
    ) : StreamEnd

    /** Nothing ran, as the endpoint's reply or a refused connection proves. */
    public data class ProvenNotRun(override val report: GrantReport, public val detail: String) :
        StreamEnd

    /**
     * The exchange broke off after bytes were sent.
     *
     * @property hasEndpointCrashed whether the endpoint refused connections afterwards
     */
    public data class Broken(
        override val report: GrantReport,
        public val detail: String,
        public val hasEndpointCrashed: Boolean
    ) : StreamEnd

    /** The caller disconnected and the stream was cancelled. */
    public data class CallerDisconnected(override val report: GrantReport) : StreamEnd

    /**
     * The stream was cancelled because it was preempted.
     *
     * @property sentTokens output tokens that the caller has received
     * @property canResume whether the endpoint keeps a handle to resume it
     */
    public data class Interrupted(
        override val report: GrantReport,
        public val sentTokens: Int,
        public val canResume: Boolean
    ) : StreamEnd
}

/**
 * A whole answer, kept for callers that send the same key again.
 *
 * @property status HTTP status
 * @property body at most 64 KiB
 */
public data class StoredAnswer(
    public val status: Int,
    public val contentType: String,
    public val body: String
)
