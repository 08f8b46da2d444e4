package cowslipcart.standins.service

import cowslipcart.core.membership.stableHash
import cowslipcart.core.model.RequestId

/**
 * A call to the plain service.
 *
 * @property path path without query
 * @property idempotencyKey header `Idempotency-Key`; null if absent
 */
public data class ServiceCall(
    public val method: String,
    public val path: String,
    public val idempotencyKey: String?,
    public val requestId: RequestId?,
    public val body: String
)

/** Call that took effect; [number] counts such calls from 1. */
public data class ServiceJournalEntry(
    public val number: Long,
    public val atMs: Long,
    public val call: ServiceCall
)

/** Answer of the plain service. */
public sealed interface ServiceAnswer {
    /** A non-idempotent call took effect. [contentHash] is the hash of its request body. */
    public data class Recorded(public val number: Long, public val contentHash: String) :
        ServiceAnswer

    /** Stock of an item; the same item always has the same quantity. */
    public data class Stock(public val item: String, public val quantity: Int) : ServiceAnswer

    /** Answer to any other call. */
    public data class Echo(
        public val method: String,
        public val path: String,
        public val contentHash: String
    ) : ServiceAnswer
}

/** State of the plain service without input or output. Not thread-safe. */
public class ServiceState {
    private val entries = ArrayList<ServiceJournalEntry>()

    /** Calls that took effect, in order. */
    public val journal: List<ServiceJournalEntry> get() = entries.toList()

    /** Runs [call] and records it in the journal. `nowMs` is milliseconds since 1970. */
    public fun run(call: ServiceCall, nowMs: Long): Pair<ServiceJournalEntry, ServiceAnswer> {
        val entry = ServiceJournalEntry(entries.size + 1L, nowMs, call)
        entries += entry
        return entry to answer(entry)
    }

    private fun answer(entry: ServiceJournalEntry): ServiceAnswer {
        val call = entry.call
        val contentHash = contentHash(call.body)
        return when {
            call.method == "POST" && call.path in NON_IDEMPOTENT_PATHS ->
                ServiceAnswer.Recorded(entry.number, contentHash)

            call.method == "GET" && call.path.startsWith(STOCK_PREFIX) -> {
                val item = call.path.removePrefix(STOCK_PREFIX)
                ServiceAnswer.Stock(item, stableHash(item).mod(STOCK_RANGE))
            }

            else -> ServiceAnswer.Echo(call.method, call.path, contentHash)
        }
    }

    public companion object {
        /** Paths whose POST calls must not be repeated. */
        public val NON_IDEMPOTENT_PATHS: Set<String> = setOf("/sign-offs", "/reservations")

        private const val STOCK_PREFIX = "/stock/"
        private const val STOCK_RANGE = 100

        /** Returns the hash of a request body that the answers contain, as 16 hex digits. */
        public fun contentHash(body: String): String =
            stableHash(body).toULong().toString(16).padStart(16, '0')
    }
}
