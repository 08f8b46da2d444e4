package cowslipcart.core.forwarding

import cowslipcart.core.membership.stableHash
import cowslipcart.core.model.RequestId
import cowslipcart.core.model.VersionId

/** Identifies a stream to all hosts by a hash of the id of the request that began it. */
@JvmInline
public value class StreamKey(public val value: Long) {
    override fun toString(): String = value.toULong().toString(HEX_RADIX)

    public companion object {
        private const val HEX_RADIX = 16

        /** The stream whose first event answered [request]. */
        public fun of(request: RequestId): StreamKey = StreamKey(stableHash(request.value))
    }
}

/**
 * A request that goes on with a stream that broke off.
 *
 * @property origin request of the same caller that brought the first event; null if it names none
 */
public data class Resumption(public val origin: RequestId?)

/**
 * Versions of the endpoints that began recent streams, on this host and, as far as they told it, on
 * others. Holds [MAX_STREAMS] at most, for [STREAM_LIFETIME_MS]; the oldest are dropped first.
 */
internal class StreamOrigins {
    private class Origin(val version: VersionId, val addedAtMs: Long)

    private val origins = LinkedHashMap<StreamKey, Origin>()

    operator fun get(stream: StreamKey): VersionId? = origins[stream]?.version

    /** [stream] was begun by an endpoint of [version]; what is known of it already stays. */
    fun add(stream: StreamKey, version: VersionId, nowMs: Long) {
        dropOldest(nowMs)
        if (stream !in origins) origins[stream] = Origin(version, nowMs)
    }

    private fun dropOldest(nowMs: Long) {
        val oldest = origins.entries.iterator()
        while (oldest.hasNext()) {
            val isOutdated = nowMs - oldest.next().value.addedAtMs > STREAM_LIFETIME_MS
            if (!isOutdated && origins.size < MAX_STREAMS) return
            oldest.remove()
        }
    }

    companion object {
        /** Several times the longest deadline of a caller, in ms. */
        const val STREAM_LIFETIME_MS = 30_000L

        /** Streams that a group of 32 hosts begins in that time at the size to design for. */
        const val MAX_STREAMS = 16_384
    }
}
