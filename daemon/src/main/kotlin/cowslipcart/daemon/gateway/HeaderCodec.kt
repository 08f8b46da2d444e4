package cowslipcart.daemon.gateway

import cowslipcart.core.forwarding.EndpointEntry
import cowslipcart.core.forwarding.PromptPart
import cowslipcart.core.forwarding.Resumption
import cowslipcart.core.forwarding.StatedLoad
import cowslipcart.core.forwarding.WorkSize
import cowslipcart.core.model.OrganisationId
import cowslipcart.core.model.RequestId
import cowslipcart.daemon.http1.Header
import cowslipcart.daemon.http1.RequestHead
import cowslipcart.daemon.http1.ResponseHead

/** Translates between the HTTP headers of a platform and the types of the gateway. */
public interface HeaderCodec {
    /** Decodes the headers of a caller's request. Invalid headers count as missing. */
    public fun decodeRequest(head: RequestHead): RequestMetadata

    /** Returns the headers of the request to an endpoint, without hop-by-hop headers. */
    public fun endpointHeaders(head: RequestHead, metadata: ForwardingMetadata): List<Header>

    /** Decodes the headers of an endpoint's response. */
    public fun decodeResponse(head: ResponseHead): ResponseMetadata
}

/**
 * What the headers of a caller's request state.
 *
 * @property requestId null if the caller states none
 * @property remainingMs how long the caller waits for the response; null if not stated
 * @property key API key of the organisation; null if there is none
 * @property size size of the work in tokens; null if not stated
 * @property prompt parts of the prompt; empty if not stated
 * @property resumption the stream that the caller goes on with; null if it begins one, or none
 */
public data class RequestMetadata(
    public val requestId: RequestId?,
    public val remainingMs: Long?,
    public val key: String?,
    public val size: WorkSize?,
    public val prompt: List<PromptPart>,
    public val resumption: Resumption? = null
)

/**
 * What the gateway adds to a request that it forwards to an endpoint.
 *
 * @property organisation null if the caller was not identified
 * @property remainingMs how long the gateway waits for the response
 * @property lastEventId last event that was forwarded, for a stream that is resumed; null if none
 */
public data class ForwardingMetadata(
    public val endpoint: EndpointEntry,
    public val organisation: OrganisationId?,
    public val remainingMs: Long,
    public val lastEventId: Long?
)

/**
 * What the headers of an endpoint's response state.
 *
 * @property requestId request that the response belongs to; null if not stated
 * @property isSigned whether the response carries the endpoint's signature
 * @property isDeclined whether the endpoint states that it did not execute the request
 * @property isLeaving whether the endpoint states that it leaves
 * @property backoff how long the endpoint wants no requests from this host
 * @property load what the endpoint states of its load
 * @property declineLimitPerS declines in a second beyond which it falls over; null for no limit
 */
public data class ResponseMetadata(
    public val requestId: RequestId?,
    public val isSigned: Boolean,
    public val isDeclined: Boolean,
    public val isLeaving: Boolean = false,
    public val backoff: BackoffRequest = BackoffRequest.None,
    public val load: LoadStatement = LoadStatement.None,
    public val declineLimitPerS: Int? = null
)

/** What an endpoint states of its load. */
public sealed interface LoadStatement {
    public data object None : LoadStatement

    /** The endpoint states [load], which is within the bounds of its type. */
    public data class Of(public val load: StatedLoad) : LoadStatement

    /** [text] states no load that an endpoint can have, and changes nothing. */
    public data class Unreadable(public val text: String) : LoadStatement
}

/** Whether an endpoint wants no requests from this host for a while. */
public sealed interface BackoffRequest {
    public data object None : BackoffRequest

    /** The endpoint wants no requests for [durationMs]. */
    public data class For(public val durationMs: Long) : BackoffRequest

    /** The endpoint states a time that can't be read. */
    public data class Unreadable(public val text: String) : BackoffRequest
}
