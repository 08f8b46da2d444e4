package cowslipcart.daemon.session

import cowslipcart.core.capacity.GrantProgress
import cowslipcart.core.model.RequestId
import cowslipcart.core.model.ShardId
import java.util.concurrent.ConcurrentHashMap

/** Open sessions of this host, by request id. */
internal class SessionRegistry {
    private val sessions = ConcurrentHashMap<RequestId, RequestSession>()

    val size: Int get() = sessions.size

    fun add(session: RequestSession) {
        sessions[session.request.requestId] = session
    }

    fun remove(requestId: RequestId) {
        sessions.remove(requestId)
    }

    /** Sends [command] to the session of a request; drops it if the session has ended. */
    fun send(requestId: RequestId, command: SessionCommand) {
        sessions[requestId]?.enqueue(command)
    }

    /** Returns the received tokens of all running exchanges, by shard. */
    fun collectProgress(): Map<ShardId, List<GrantProgress>> = sessions.values
        .mapNotNull { session -> session.running?.let { it to session.receivedTokens } }
        .groupBy({ it.first.shard }, { GrantProgress(it.first.grantId, it.second) })
}
