package cowslipcart.core.forwarding

import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.Fingerprint
import cowslipcart.core.model.OrganisationId
import cowslipcart.core.model.PoolId
import cowslipcart.core.model.RequestId
import cowslipcart.core.model.Tier
import cowslipcart.core.routing.Route

/** Number of a request on the host that received it; unique within the process. */
@JvmInline
public value class CallId(public val value: Long) {
    override fun toString(): String = value.toString()
}

/** Name of a part of a prompt; equal parts have equal names. */
@JvmInline
public value class PromptPartId(public val value: Long)

/** A part of a prompt, in order; a cache keeps a part only with all parts before it. */
public data class PromptPart(public val id: PromptPartId, public val tokens: Int)

/**
 * Size of the work that a request asks of an engine.
 *
 * @property inputTokens tokens of the prompt; 0 for a plain service
 * @property outputTokens most tokens of the answer
 * @property hintedOutputTokens the caller's estimate of the tokens of the answer, right at the
 * median but often far off; null for none
 */
public data class WorkSize(
    public val inputTokens: Int,
    public val outputTokens: Int,
    public val hintedOutputTokens: Int? = null
) {
    /** Tokens that a limit of an organisation counts. */
    public val totalTokens: Long get() = inputTokens.toLong() + outputTokens
}

/**
 * A request that arrived at this host.
 *
 * @property requestId id that the caller gave to this attempt
 * @property tier of its organisation, if that has one, else of its route; orders what waits
 * @property rankInPool tiers of the routes to its pool that go before that of its route
 * @property statedSize null for a request that states no tokens
 * @property prompt parts of the prompt; empty for a plain service
 * @property arrivedAtMs when its last byte was read, by the monotonic clock
 * @property givenUpAtMs when the caller stops waiting, or the route's timeout ends
 */
public data class ForwardedCall(
    public val id: CallId,
    public val requestId: RequestId,
    public val organisation: OrganisationId?,
    public val route: Route,
    public val pool: PoolId,
    public val tier: Tier,
    public val rankInPool: Int,
    public val statedSize: WorkSize?,
    public val prompt: List<PromptPart>,
    public val fingerprint: Fingerprint,
    public val arrivedAtMs: Long,
    public val givenUpAtMs: Long
) {
    /** Prompt tokens that an engine without a cache reads. */
    public val inputTokens: Int get() = statedSize?.inputTokens ?: 0

    /** Tokens that the answer is expected to have; 0 for a plain service. */
    public val expectedOutputTokens: Int
        get() = statedSize?.let { minOf(it.hintedOutputTokens ?: it.outputTokens, it.outputTokens) }
            ?: 0
}

/** How one attempt at an endpoint ended. */
public sealed interface AttemptOutcome {
    /** The endpoint answered, with success or with a failure of its own. */
    public data class Answered(public val isSuccess: Boolean) : AttemptOutcome

    /** The endpoint stated that it did not run the request. */
    public data class Declined(public val reason: DeclineReason) : AttemptOutcome

    /** No byte of the request was sent. */
    public data class NotSent(public val reason: String) : AttemptOutcome

    /** The connection or the answer broke after the request was sent; it may have run. */
    public data class Broken(public val reason: String) : AttemptOutcome
}

/** Why an endpoint did not run a request. */
public enum class DeclineReason {
    /** Its queue is full, or the deadline passed there. */
    FULL,

    /** Another endpoint has the address now. */
    WRONG_ENDPOINT
}

/** Why a request is answered without an endpoint's answer. */
public enum class RefusalReason(public val text: String) {
    NO_ENDPOINT("no-endpoint"),
    OVERLOADED("overloaded"),
    OVER_QUOTA("over-quota"),
    QUARANTINED("quarantined"),
    OUT_OF_TIME("out-of-time"),
    DECLINED("declined"),
    NOT_SENT("not-sent"),
    MAY_HAVE_RUN("may-have-run")
}

/** What a waiting request is told. */
public sealed interface CallCommand {
    /**
     * Send the request to [endpoint].
     *
     * @property attempt counts the endpoints that the request was sent to, from 1
     */
    public data class Dispatch(public val endpoint: EndpointEntry, public val attempt: Int) :
        CallCommand

    /**
     * Answer without an endpoint. The request has not run and will not run.
     *
     * @property retryAfterMs null if a later try cannot help
     */
    public data class Refuse(public val reason: RefusalReason, public val retryAfterMs: Long?) :
        CallCommand

    /** The request may have run and is not sent again. */
    public data class GiveUp(public val reason: RefusalReason) : CallCommand
}

/** An endpoint as the platform lists it. */
public data class EndpointEntry(
    public val id: EndpointId,
    public val pool: PoolId,
    public val ip: String,
    public val port: Int,
    public val domain: String,
    public val slotCount: Int,
    public val isDraining: Boolean
)
