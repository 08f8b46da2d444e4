package cowslipcart.daemon.session

import cowslipcart.core.model.EndpointSpec
import cowslipcart.core.model.GrantId
import cowslipcart.core.model.ShardId
import cowslipcart.core.origin.Rejection
import cowslipcart.core.origin.StoredAnswer

/** What control tells the session of a request to do. */
internal sealed interface SessionCommand {
    /** [decidedAtMs] is the time of control's decision by the clock of the process. */
    data class Dispatch(
        val grantId: GrantId,
        val shard: ShardId,
        val endpoint: EndpointSpec,
        val isResume: Boolean,
        val decidedAtMs: Long
    ) : SessionCommand

    data class Reject(val rejection: Rejection) : SessionCommand

    data class Replay(val answer: StoredAnswer) : SessionCommand

    /** The running exchange has to give way. */
    data object Interrupt : SessionCommand

    /** The running exchange is not wanted any more. */
    data object Cancel : SessionCommand
}

/** What the session writes to the caller's connection. */
internal sealed interface CallerOutput {
    data class Head(val status: Int, val contentType: String) : CallerOutput

    class Body(val bytes: ByteArray) : CallerOutput

    data class Problem(val rejection: Rejection) : CallerOutput
}
