package cowslipcart.standins.hosts

import cowslipcart.core.model.DomainId

/** Id of an entry in the platform's host list. */
@JvmInline
public value class ListedId(public val value: String) {
    override fun toString(): String = value
}

/** Whether a list entry is a host that accepts callers or an endpoint. */
public enum class ListedKind { ENTRY, ENDPOINT }

/** Whether a list entry stays or is about to be removed. */
public enum class ListedState { LIVE, LEAVING }

/** Entry of the platform's host list; [address] is an IP address and port. */
public data class ListedHost(
    public val id: ListedId,
    public val address: String,
    public val domain: DomainId,
    public val kind: ListedKind,
    public val state: ListedState
)

/**
 * The platform's host list. A change becomes visible [lagMs] milliseconds after it was made.
 * `nowMs` is monotonic time in milliseconds. Not thread-safe.
 */
public class HostDirectory(private val lagMs: Long) {
    private sealed interface Change {
        val visibleAtMs: Long

        class Put(override val visibleAtMs: Long, val host: ListedHost) : Change

        class Delete(override val visibleAtMs: Long, val id: ListedId) : Change
    }

    private val visible = sortedMapOf<ListedId, ListedHost>(compareBy { it.value })
    private val changes = ArrayDeque<Change>()

    /** Adds or replaces an entry. */
    public fun put(host: ListedHost, nowMs: Long) {
        changes.addLast(Change.Put(nowMs + lagMs, host))
    }

    /** Removes an entry. An unknown id is ignored. */
    public fun delete(id: ListedId, nowMs: Long) {
        changes.addLast(Change.Delete(nowMs + lagMs, id))
    }

    /** Returns the visible entries in the order of their ids. */
    public fun list(nowMs: Long): List<ListedHost> {
        while (changes.isNotEmpty() && changes.first().visibleAtMs <= nowMs) {
            when (val change = changes.removeFirst()) {
                is Change.Put -> visible[change.host.id] = change.host
                is Change.Delete -> visible.remove(change.id)
            }
        }
        return visible.values.toList()
    }
}
