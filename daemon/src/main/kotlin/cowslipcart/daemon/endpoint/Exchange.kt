package cowslipcart.daemon.endpoint

import cowslipcart.core.model.EndpointSpec
import cowslipcart.core.model.GrantId
import cowslipcart.core.origin.StreamEnd
import cowslipcart.daemon.session.CallerOutput

/** The exchange of one request with endpoints; [run] is called again to resume a stream. */
internal interface Exchange {
    /** Output tokens received so far. */
    val receivedTokens: Int

    /**
     * Sends the request, passes the answer to [write] and awaits its end. Failures are part of the
     * result; only cancellation is thrown.
     */
    suspend fun run(start: ExchangeStart, write: suspend (CallerOutput) -> Unit): StreamEnd

    /** Cancels the stream at the endpoint so that it can be resumed; [run] then returns. */
    suspend fun interrupt()

    /** Cancels the stream because its caller left; [run] then returns. */
    suspend fun cancel()
}

/** Where and how to start an exchange. */
internal data class ExchangeStart(
    val endpoint: EndpointSpec,
    val grantId: GrantId,
    val isResume: Boolean
)
