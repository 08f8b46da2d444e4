package cowslipcart.core.forwarding

import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.Fingerprint
import cowslipcart.core.model.HostId
import cowslipcart.core.model.OrganisationId
import cowslipcart.core.model.PoolId
import cowslipcart.core.model.RequestId
import cowslipcart.core.model.Tier
import cowslipcart.core.model.VersionId
import cowslipcart.core.routing.Route

/** Identifies a request within the process of the host that received it. */
@JvmInline
public value class CallId(public val value: Long) {
    override fun toString(): String = value.toString()
}

/** Identifies a part of a prompt by its content: equal parts have equal ids. */
@JvmInline
public value class PromptPartId(public val value: Long) {
    override fun toString(): String = value.toULong().toString(HEX_RADIX)

    private companion object {
        const val HEX_RADIX = 16
    }
}

/**
 * One of the consecutive parts of a prompt. A prefix cache holds a part only together with all
 * parts before it.
 */
public data class PromptPart(public val id: PromptPartId, public val tokens: Int)

/**
 * Size of the request's work for an engine.
 *
 * @property inputTokens tokens of the prompt; 0 for a plain service
 * @property outputTokens upper bound on the tokens of the answer
 * @property hintedOutputTokens the caller's estimate of the tokens of the answer, whose median is
 * right while single estimates are often far off; null for none
 */
public data class WorkSize(
    public val inputTokens: Int,
    public val outputTokens: Int,
    public val hintedOutputTokens: Int? = null
) {
    /** Tokens that count against an organisation's limit. */
    public val totalTokens: Long get() = inputTokens.toLong() + outputTokens
}

/**
 * A request that this host received and forwards to an endpoint.
 *
 * @property requestId id that the caller gave to this attempt
 * @property tier tier of its organisation, if that has one, else of its route; orders the queue
 * @property rankInPool number of more urgent tiers among the routes to its pool; 0 is most urgent
 * @property statedSize size that the caller stated; null if it stated no tokens
 * @property prompt parts of the prompt; empty for a plain service
 * @property arrivedAtMs time on the monotonic clock at which its last byte was read
 * @property deadlineAtMs deadline on the monotonic clock, by the caller or by the route's timeout
 * @property resumption the stream that the request goes on with; null if it begins one, or none
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
    public val deadlineAtMs: Long,
    public val resumption: Resumption? = null
) {
    /** Tokens of the prompt without regard to caches; 0 for a plain service. */
    public val inputTokens: Int get() = statedSize?.inputTokens ?: 0

    /** Expected tokens of the answer; 0 for a plain service. */
    public val expectedOutputTokens: Int
        get() = statedSize?.let { minOf(it.hintedOutputTokens ?: it.outputTokens, it.outputTokens) }
            ?: 0
}

/** How one attempt at an endpoint ended. */
public sealed interface AttemptOutcome {
    /** The endpoint answered, with success or with an error. */
    public data class Answered(public val isSuccess: Boolean) : AttemptOutcome

    /** The endpoint stated that it did not run the request. */
    public data class Declined(public val reason: DeclineReason) : AttemptOutcome

    /**
     * No byte of the request was sent, since there was no connection.
     *
     * @property isRelayLost whether the host that was to relay the connection failed, which says
     * nothing of the endpoint
     */
    public data class NotSent(public val reason: String, public val isRelayLost: Boolean = false) :
        AttemptOutcome

    /** No byte of the request was sent, since the decision to send it was out of date. */
    public data object Withheld : AttemptOutcome

    /**
     * The connection or the answer broke after the request was sent; it may have run.
     *
     * @property isConnectionLost whether the endpoint closed or reset the connection; false if it
     * sent nothing for too long or sent an invalid answer
     * @property isAnswerBegun whether the head of an answer had arrived
     */
    public data class Broken(
        public val reason: String,
        public val isConnectionLost: Boolean = false,
        public val isAnswerBegun: Boolean = false
    ) : AttemptOutcome

    /** Another attempt took over, since the endpoint was silent; it may have run the request. */
    public data class Replaced(public val reason: String) : AttemptOutcome
}

/** Why an endpoint did not run a request. */
public enum class DeclineReason {
    /** Its queue is full, or the deadline passed at the endpoint. */
    FULL,

    /** Another endpoint has taken over the address. */
    WRONG_ENDPOINT
}

/** Why a request ends without an endpoint's answer; [text] is the reason shown to callers. */
public enum class RefusalReason(public val text: String) {
    NO_ENDPOINT("no-endpoint"),
    OVERLOADED("overloaded"),
    OVER_QUOTA("over-quota"),
    QUARANTINED("quarantined"),
    UNKNOWN_STREAM("unknown-stream"),
    OUT_OF_TIME("out-of-time"),
    DECLINED("declined"),
    NOT_SENT("not-sent"),
    CONTROL_FAILED("control-failed"),
    MAY_HAVE_RUN("may-have-run")
}

/** Decision of the control thread for a waiting request. */
public sealed interface CallCommand {
    /** Send the request to [endpoint] as the attempt with the number [attempt], from 1. */
    public sealed interface Send : CallCommand {
        public val endpoint: EndpointEntry
        public val attempt: Int

        /** Time on the monotonic clock after which the request may not be sent any more. */
        public val validUntilMs: Long

        /** Host that relays a new connection to the endpoint; null if this host connects. */
        public val relay: HostId?
    }

    /** Send the request; no attempt is in flight. */
    public data class Dispatch(
        override val endpoint: EndpointEntry,
        override val attempt: Int,
        override val validUntilMs: Long = Long.MAX_VALUE,
        override val relay: HostId? = null
    ) : Send

    /**
     * Send the request to another endpoint than the silent one of the attempt in flight. That
     * attempt ends, with [AttemptOutcome.Replaced], as soon as this one is accepted; it goes on if
     * this one is declined or can't be sent.
     */
    public data class TakeOver(
        override val endpoint: EndpointEntry,
        override val attempt: Int,
        override val validUntilMs: Long = Long.MAX_VALUE,
        override val relay: HostId? = null
    ) : Send

    /** Send the request beside the attempt in flight, which goes on; the first answer counts. */
    public data class Hedge(
        override val endpoint: EndpointEntry,
        override val attempt: Int,
        override val validUntilMs: Long = Long.MAX_VALUE,
        override val relay: HostId? = null
    ) : Send

    /**
     * Answer without an endpoint. The request has not run and will not run.
     *
     * @property retryAfterMs delay after which the caller may retry; null if a retry cannot help
     */
    public data class Refuse(public val reason: RefusalReason, public val retryAfterMs: Long?) :
        CallCommand

    /** The request may have run and is not sent again. */
    public data class GiveUp(public val reason: RefusalReason) : CallCommand
}

/**
 * An endpoint in the platform's list.
 *
 * @property domain failure domain
 * @property slotCount requests that the endpoint runs at the same time
 * @property startedAtMs wall-clock time of its start, which tells it from an earlier one; 0 if
 * unknown
 * @property version version of its software
 * @property isCold whether it is still slow after its start
 */
public data class EndpointEntry(
    public val id: EndpointId,
    public val pool: PoolId,
    public val ip: String,
    public val port: Int,
    public val domain: String,
    public val slotCount: Int,
    public val isDraining: Boolean,
    public val startedAtMs: Long = 0,
    public val version: VersionId = VersionId.NONE,
    public val isCold: Boolean = false
) {
    /** Whether the port exists and the number of slots is one that an endpoint can have. */
    public val isInRange: Boolean get() = port in PORTS && slotCount in SLOT_COUNTS

    private companion object {
        val PORTS = 1..65_535

        /** Far above the batch of any engine. */
        val SLOT_COUNTS = 1..65_536
    }
}
