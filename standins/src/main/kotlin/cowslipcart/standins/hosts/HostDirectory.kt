package cowslipcart.standins.hosts

import cowslipcart.core.model.DomainId

/** Name of an entry host or endpoint on the platform's list. */
@JvmInline
public value class ListedId(public val value: String) {
    override fun toString(): String = value
}

/** What a list entry is. */
public enum class ListedKind { ENTRY, ENDPOINT }

/** State of a list entry. */
public enum class ListedState { LIVE, LEAVING }

/** One entry of the platform's list; [address] is an IP number and port. */
public data class ListedHost(
    public val id: ListedId,
    public val address: String,
    public val domain: DomainId,
    public val kind: ListedKind,
    public val state: ListedState
)

/**
 * The platform's list of hosts. Changes become visible [lagMs] after they were made. `nowMs` is
 * monotonic time in milliseconds. Not thread-safe.
 */
public class HostDirectory(private val lagMs: Long) {
    private sealed interface Change {
        val dueMs: Long

        class Put(override val dueMs: Long, val host: ListedHost) : Change

        class Delete(override val dueMs: Long, val id: ListedId) : Change
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
        while (changes.isNotEmpty() && changes.first().dueMs <= nowMs) {
            when (val change = changes.removeFirst()) {
                is Change.Put -> visible[change.host.id] = change.host
                is Change.Delete -> visible.remove(change.id)
            }
        }
        return visible.values.toList()
    }
}
