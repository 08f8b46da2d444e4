package cowslipcart.daemon.gateway

import cowslipcart.core.forwarding.EndpointEntry
import cowslipcart.core.forwarding.PromptPart
import cowslipcart.core.forwarding.WorkSize
import cowslipcart.core.model.OrganisationId
import cowslipcart.core.model.RequestId
import cowslipcart.daemon.http1.Header
import cowslipcart.daemon.http1.RequestHead
import cowslipcart.daemon.http1.ResponseHead

/** Translates between the headers of a platform and what the gateway decides with. */
public interface EdgeDialect {
    /** Reads what a caller says of its request. */
    public fun decodeCall(head: RequestHead): CallFacts

    /** Returns the headers of the request to an endpoint, without those of the connection. */
    public fun endpointHeaders(head: RequestHead, sending: SendingFacts): List<Header>

    /** Reads what an endpoint says of its answer. */
    public fun decodeAnswer(head: ResponseHead): AnswerFacts
}

/**
 * What a caller says of its request.
 *
 * @property leftMs how long the caller waits
 * @property key secret of its organisation
 * @property size null if it states none
 */
public data class CallFacts(
    public val requestId: RequestId?,
    public val leftMs: Long?,
    public val key: String?,
    public val size: WorkSize?,
    public val prompt: List<PromptPart>
)

/**
 * What an endpoint is told beside the caller's request.
 *
 * @property leftMs how long the answer is waited for
 * @property lastEventId last event that was delivered, for a stream that goes on; null for none
 */
public data class SendingFacts(
    public val endpoint: EndpointEntry,
    public val organisation: OrganisationId?,
    public val leftMs: Long,
    public val lastEventId: Long?
)

/**
 * What an endpoint says of its answer.
 *
 * @property requestId request that it answers; null if it names none
 * @property isSigned whether it carries the endpoint's signature
 * @property isDeclined whether the endpoint states that it did not run the request
 */
public data class AnswerFacts(
    public val requestId: RequestId?,
    public val isSigned: Boolean,
    public val isDeclined: Boolean
)
