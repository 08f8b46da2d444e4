package cowslipcart.daemon.endpoint

import cowslipcart.core.model.EndpointSpec
import cowslipcart.core.model.GrantId
import cowslipcart.core.origin.StreamEnd
import cowslipcart.daemon.session.CallerOutput

/** Exchange of one request with an endpoint; [run] is called again to resume or dispatch anew. */
internal interface Exchange {
    /** Output tokens received so far. */
    val receivedTokens: Int

    /**
     * Sends the request, passes the answer to [write] and returns when the answer has ended.
     * Failures are returned; only cancellation is thrown.
     */
    suspend fun run(start: ExchangeStart, write: suspend (CallerOutput) -> Unit): StreamEnd

    /** Cancels the stream at the endpoint so that it can be resumed; [run] then returns. */
    suspend fun interrupt()

    /** Cancels the stream because its caller has disconnected; [run] then returns. */
    suspend fun cancel()
}

/** Endpoint and grant of one run of an exchange; [isResume] if it resumes a stream. */
internal data class ExchangeStart(
    val endpoint: EndpointSpec,
    val grantId: GrantId,
    val isResume: Boolean
)
