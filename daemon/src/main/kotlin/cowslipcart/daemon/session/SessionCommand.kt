package cowslipcart.daemon.session

import cowslipcart.core.model.EndpointSpec
import cowslipcart.core.model.GrantId
import cowslipcart.core.model.ShardId
import cowslipcart.core.origin.Rejection
import cowslipcart.core.origin.StoredAnswer

/** Command of the controller to the session of a request. */
internal sealed interface SessionCommand {
    /**
     * Send the request to [endpoint], or resume its stream there.
     *
     * @property decidedAtMs when the controller decided it, in ms since the process started
     */
    data class Dispatch(
        val grantId: GrantId,
        val shard: ShardId,
        val endpoint: EndpointSpec,
        val isResume: Boolean,
        val decidedAtMs: Long
    ) : SessionCommand

    /** End the session with an error. */
    data class Reject(val rejection: Rejection) : SessionCommand

    /** End the session with the stored answer of an earlier request with the same key. */
    data class Replay(val answer: StoredAnswer) : SessionCommand

    /** Preempt the running exchange; its stream may be resumed later. */
    data object Interrupt : SessionCommand

    /** Cancel the running exchange: its answer is no longer needed. */
    data object Cancel : SessionCommand
}

/** Part of the answer that a session passes to the caller's connection. */
internal sealed interface CallerOutput {
    /** Status and content type; precedes the body. */
    data class Head(val status: Int, val contentType: String) : CallerOutput

    class Body(val bytes: ByteArray) : CallerOutput

    /** Error in place of the answer, or at the point where a started answer broke off. */
    data class Problem(val rejection: Rejection) : CallerOutput
}
