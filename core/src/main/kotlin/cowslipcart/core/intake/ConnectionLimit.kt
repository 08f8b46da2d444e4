package cowslipcart.core.intake

/** An open connection of a caller. */
@JvmInline
public value class ConnectionId(public val value: Long)

/** What a [ConnectionLimit] has decided about a new connection. */
public sealed interface ConnectionAdmission {
    /** The connection is served; [closing] has to be closed for it, null if there is room. */
    public data class Accepted(public val id: ConnectionId, public val closing: ConnectionId?) :
        ConnectionAdmission

    /** The connection has to be closed: requests are in work on all others. */
    public data object Refused : ConnectionAdmission

    /**
     * The connection has to wait until others that are being closed are closed; [closing] has to be
     * closed as well, null if none.
     */
    public data class Busy(public val closing: ConnectionId?) : ConnectionAdmission
}

/**
 * Bounds the open connections of callers. If there are too many, a new one takes the place of the
 * one that has been idle for longest, or else of the one that has been sending a request for
 * longest. Not safe for concurrent use.
 */
public class ConnectionLimit(private val limits: IntakeLimits) {
    // Both in the order in which the connections came to this state.
    private val idle = LinkedHashSet<ConnectionId>()
    private val reading = LinkedHashSet<ConnectionId>()
    private val open = HashSet<ConnectionId>()
    private val closing = HashSet<ConnectionId>()
    private var lastId = 0L

    /** Bound on connections beyond the limit, while others are being closed. */
    private val maxClosing = 1 + limits.maxConnections / CLOSING_PER_OPEN

    /** Number of open connections, with those that are being closed. */
    public val openCount: Int get() = open.size

    /** Decides about a new connection, which is idle at first. */
    public fun open(): ConnectionAdmission {
        var victim: ConnectionId? = null
        if (open.size - closing.size >= limits.maxConnections) {
            victim = idle.firstOrNull() ?: reading.firstOrNull()
                ?: return ConnectionAdmission.Refused
        }
        if (open.size >= limits.maxConnections + maxClosing) {
            // Those whose requests crossed the close stay open, so others have to be closed.
            if (closing.size >= maxClosing) return ConnectionAdmission.Busy(null)
            victim?.let { beginClosing(it) }
            return ConnectionAdmission.Busy(victim)
        }
        victim?.let { beginClosing(it) }
        val id = ConnectionId(++lastId)
        open += id
        idle += id
        return ConnectionAdmission.Accepted(id, victim)
    }

    /** Notes that no request is under way on [id]. */
    public fun onIdle(id: ConnectionId) {
        if (id !in open || id in closing) return
        reading -= id
        idle += id
    }

    /**
     * Notes that the first byte of a request has arrived on [id]. A request that crosses the close
     * of its connection is served.
     */
    public fun onReading(id: ConnectionId) {
        if (id !in open) return
        closing -= id
        idle -= id
        reading += id
    }

    /** Notes that a request was read whole on [id]; it is not closed before the answer. */
    public fun onServing(id: ConnectionId) {
        idle -= id
        reading -= id
    }

    /** Notes that [id] is closed. */
    public fun onClosed(id: ConnectionId) {
        open -= id
        closing -= id
        idle -= id
        reading -= id
    }

    private fun beginClosing(id: ConnectionId) {
        closing += id
        idle -= id
        reading -= id
    }

    private companion object {
        const val CLOSING_PER_OPEN = 8
    }
}
