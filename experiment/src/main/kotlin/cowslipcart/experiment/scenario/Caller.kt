package cowslipcart.experiment.scenario

import cowslipcart.core.model.HostId
import cowslipcart.core.model.OrganisationId
import cowslipcart.core.origin.Rejection

/** Kind of call that a caller makes. */
internal enum class Route(val pool: String, val isIdempotent: Boolean) {
    /** Streamed answer of a model engine. */
    CHAT("chat", true),

    /** Non-idempotent call of the plain service; needs a key. */
    SIGN_OFF("records", false),

    /** Idempotent call of the plain service. */
    STOCK("records", true)
}

/** A request as its caller makes it; [keyUuid] is null without `Idempotency-Key`. */
internal data class CallerCall(
    val name: String,
    val host: HostId,
    val route: Route,
    val organisation: OrganisationId,
    val tier: Int,
    val keyUuid: String?,
    val content: String,
    val promptTokens: Int,
    val outputTokens: Int,
    val deadlineMs: Long?,
    val session: String? = null
) {
    /** Key with the organisation as its scope. */
    val scopedKey: String? get() = keyUuid?.let { "$organisation/$it" }
}

/** Kind of reply that a caller received. */
internal enum class ReplyKind {
    ANSWERED,
    NOT_RUN,
    OUTCOME_UNKNOWN,
    STILL_RUNNING,
    QUARANTINED,
    LIMIT_EXCEEDED,
    BAD_REQUEST;

    /** Name in scenario files. */
    val label: String get() = name.lowercase().replace('_', '-')
}

internal class Reply(val atMs: Long, val kind: ReplyKind, val body: String)

/** A request in flight or finished, as its caller sees it. */
internal class CallerRecord(val call: CallerCall, val endpointCall: EndpointCall) {
    val replies = mutableListOf<Reply>()

    /** The first reply, or null while the caller waits. */
    val reply: Reply? get() = replies.firstOrNull()
}

internal fun Rejection.kind(): ReplyKind = when (this) {
    is Rejection.NotRun -> ReplyKind.NOT_RUN
    is Rejection.OutcomeUnknown -> ReplyKind.OUTCOME_UNKNOWN
    is Rejection.StillRunning -> ReplyKind.STILL_RUNNING
    is Rejection.LimitExceeded -> ReplyKind.LIMIT_EXCEEDED
    is Rejection.Quarantined -> ReplyKind.QUARANTINED
    is Rejection.BadRequest -> ReplyKind.BAD_REQUEST
}
