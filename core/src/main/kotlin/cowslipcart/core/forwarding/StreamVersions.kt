package cowslipcart.core.forwarding

import cowslipcart.core.model.HostId
import cowslipcart.core.model.PoolId
import cowslipcart.core.model.VersionId
import cowslipcart.core.routing.WorkKind

/** A version of the endpoints of a pool. */
public data class PoolVersion(public val pool: PoolId, public val version: VersionId)

/** What other hosts and the platform's store get to know of the versions of streams. */
public sealed interface StreamEffect {
    /** Tells the hosts of the group which versions began streams of this host. */
    public data class Tell(public val versions: Map<StreamKey, VersionId>) : StreamEffect

    /** Stores for the group which versions began its streams lately. */
    public data class Keep(public val versions: Map<StreamKey, VersionId>) : StreamEffect

    /** Asks other hosts which version began [stream]. */
    public data class Ask(public val stream: StreamKey) : StreamEffect

    /** Reads from the store which versions there are, for a stream that no host may know. */
    public data object Confirm : StreamEffect

    /** Answers [host], which asked for [stream]. */
    public data class Answer(
        public val host: HostId,
        public val stream: StreamKey,
        public val version: VersionId
    ) : StreamEffect

    /** Stores that streams of [version] may be under way. */
    public data class Store(public val version: PoolVersion) : StreamEffect

    /** Removes [version] from the store. */
    public data class Remove(public val version: PoolVersion) : StreamEffect
}

/** The endpoints at which a request for a stream may run, by their versions. */
internal sealed interface StreamPlace {
    /** The request begins a stream, or is for none. */
    data object Anywhere : StreamPlace

    /** The stream goes on at an endpoint of [version]. */
    data class At(val version: VersionId, val source: String) : StreamPlace

    /** No host has told yet which version began the stream. */
    data object Unknown : StreamPlace
}

/**
 * Keeps each stream at the version that began it. A stream of this host or of one that told its
 * version goes on there. Any other one goes on only if a single version can have begun it.
 */
internal class StreamVersions {
    private class Start(val key: StreamKey, val place: PoolVersion, val atMs: Long)

    private val origins = StreamOrigins()
    private val pools = mutableMapOf<PoolId, PoolVersions>()

    /** Streams of this host that were not told to others, oldest first. */
    private val untold = ArrayDeque<Start>()

    /** Streams of the group, told since the last [StreamEffect.Keep]. */
    private val unkept = mutableMapOf<StreamKey, VersionId>()
    private var lastKeptMs = Long.MIN_VALUE / 2
    private val effects = mutableListOf<ForwardingEffect>()
    private var isStoreRead = false
    private var storeReadAtMs = Long.MIN_VALUE / 2

    /** Start of the last read of the store that told all versions, on the monotonic clock. */
    private var confirmedAsOfMs = Long.MIN_VALUE / 2
    private var lastToldMs = Long.MIN_VALUE / 2

    /** Whether [onTick] has something to tell. */
    val hasUntold: Boolean
        get() = unkept.isNotEmpty() || (untold.isNotEmpty() && pools.values.any { it.isMixed })

    /**
     * Time on the monotonic clock until which [call] waits for the version of its stream. A host
     * that starts reads the store first, and confirms what it has read then.
     */
    fun waitUntilMs(call: ForwardedCall): Long {
        val longestMs = call.arrivedAtMs + READ_WAIT_MS
        if (!isStoreRead) return longestMs
        return minOf(maxOf(call.arrivedAtMs, storeReadAtMs) + ASK_WAIT_MS, longestMs)
    }

    fun onListed(entries: List<EndpointEntry>, nowMs: Long) {
        val versions = entries.groupBy({ it.pool }, { it.version })
        for (pool in pools.keys + versions.keys) {
            val state = pools.getOrPut(pool) { PoolVersions() }
            val before = state.all.toSet()
            val toStore = state.onListed(versions[pool].orEmpty().toSet(), nowMs)
            if (isStoreRead) store(pool, toStore)
            for (version in state.all - before) log(pool.value, "version-listed", version.value)
        }
    }

    /** The platform's store held [versions] as this host started. */
    fun onRead(versions: Set<PoolVersion>, nowMs: Long) {
        isStoreRead = true
        storeReadAtMs = nowMs
        for (stored in versions) {
            pools.getOrPut(stored.pool) { PoolVersions() }.onRead(stored.version, nowMs)
        }
        for ((pool, state) in pools) store(pool, state.all - stored(versions, pool))
    }

    /**
     * The store and its list of endpoints name [versions]; the read began at [asOfMs]. The list of
     * this host may lack some although it seems current: what other hosts sent of it may have
     * waited in a socket while this host stood still.
     */
    fun onConfirmed(versions: Set<PoolVersion>, asOfMs: Long, nowMs: Long) {
        confirmedAsOfMs = asOfMs
        for (found in versions) {
            pools.getOrPut(found.pool) { PoolVersions() }.onFound(found.version, nowMs)
        }
    }

    private fun stored(versions: Set<PoolVersion>, pool: PoolId): Set<VersionId> =
        versions.filter { it.pool == pool }.map { it.version }.toSet()

    private fun store(pool: PoolId, versions: Set<VersionId>) {
        for (version in versions) {
            effects += ForwardingEffect.Stream(StreamEffect.Store(PoolVersion(pool, version)))
        }
    }

    /** The platform's store has taken [version]. */
    fun onStored(version: PoolVersion, nowMs: Long) {
        pools[version.pool]?.onStored(version.version, nowMs)
        log(version.pool.value, "version-stored", version.version.value)
    }

    /** The platform's store came back from an older copy. */
    fun onStoreReplaced() {
        for ((pool, state) in pools) store(pool, state.onStoreReplaced())
    }

    /** The first event of a stream for [call] came from an endpoint of [version]. */
    fun onBegun(call: ForwardedCall, version: VersionId, nowMs: Long) {
        if (!isResumable(call)) return
        val origin = if (call.resumption == null) call.requestId else call.resumption.origin
        val key = StreamKey.of(origin ?: return)
        origins.add(key, version, nowMs)
        untold += Start(key, PoolVersion(call.pool, version), nowMs)
        while (untold.size > StreamOrigins.MAX_STREAMS) untold.removeFirst()
    }

    /** Other hosts told which versions began streams. */
    fun onTold(versions: Map<StreamKey, VersionId>, nowMs: Long) {
        for ((stream, version) in versions) origins.add(stream, version, nowMs)
        addUnkept(versions)
    }

    private fun addUnkept(versions: Map<StreamKey, VersionId>) {
        if (unkept.size + versions.size <= StreamOrigins.MAX_STREAMS) unkept += versions
    }

    /** Answers [host] if this one knows which version began [stream]. */
    fun onAsked(host: HostId, stream: StreamKey) {
        val version = origins[stream] ?: return
        effects += ForwardingEffect.Stream(StreamEffect.Answer(host, stream, version))
    }

    /**
     * Asks other hosts if it is not known which version began the stream that [call] resumes, and
     * the store if there may be one version only.
     */
    fun onArrived(call: ForwardedCall, isListCurrent: Boolean) {
        if (placeOf(call, isListCurrent) != StreamPlace.Unknown) return
        if (!isMixed(call.pool)) effects += ForwardingEffect.Stream(StreamEffect.Confirm)
        val origin = call.resumption?.origin ?: return
        effects += ForwardingEffect.Stream(StreamEffect.Ask(StreamKey.of(origin)))
    }

    /**
     * Returns where [call] may run; [isListCurrent] if the list of endpoints tells all versions
     * that are in service.
     */
    fun placeOf(call: ForwardedCall, isListCurrent: Boolean): StreamPlace {
        val resumption = call.resumption
        if (resumption == null || !isResumable(call)) return StreamPlace.Anywhere
        val known = resumption.origin?.let { origins[StreamKey.of(it)] }
        if (known != null) return StreamPlace.At(known, "known")
        val only = pools[call.pool]?.all?.singleOrNull()
        val isConfirmed = isStoreRead && isListCurrent && confirmedAsOfMs >= call.arrivedAtMs
        if (only == null || !isConfirmed) return StreamPlace.Unknown
        return StreamPlace.At(only, "only version")
    }

    /** Returns those of [endpoints], all of the pool of [call], at which a stream may begin. */
    fun mayBegin(
        call: ForwardedCall,
        endpoints: List<TrackedEndpoint>,
        nowMs: Long
    ): List<TrackedEndpoint> {
        if (!isResumable(call)) return endpoints
        return pools[call.pool]?.mayBegin(endpoints, nowMs) ?: endpoints
    }

    fun logResumption(call: ForwardedCall, place: StreamPlace) {
        val reason = "stream ${call.resumption?.origin?.value ?: "not named"}"
        when (place) {
            StreamPlace.Anywhere -> Unit

            is StreamPlace.At -> {
                val version = place.version.value
                log(call.requestId.value, "stream-resumed", "$reason at $version, ${place.source}")
            }

            StreamPlace.Unknown -> log(call.requestId.value, "stream-unknown", reason)
        }
    }

    /** Tells the others of streams if several versions may have begun some. */
    fun onTick(nowMs: Long) {
        for ((pool, state) in pools) {
            for (version in state.takeGone(nowMs)) {
                log(pool.value, "version-gone", version.value)
                val gone = PoolVersion(pool, version)
                effects += ForwardingEffect.Stream(StreamEffect.Remove(gone))
            }
        }
        pools.values.removeIf { it.all.isEmpty() }
        while (untold.isNotEmpty() && isOld(untold.first(), nowMs)) untold.removeFirst()
        tell(nowMs)
        keep(nowMs)
    }

    private fun tell(nowMs: Long) {
        if (nowMs - lastToldMs < TELL_INTERVAL_MS) return
        lastToldMs = nowMs
        val due = untold.filter { isMixed(it.place.pool) }
        untold.removeIf { isMixed(it.place.pool) }
        for (part in due.chunked(MAX_TOLD)) {
            val versions = part.associate { it.key to it.place.version }
            effects += ForwardingEffect.Stream(StreamEffect.Tell(versions))
            addUnkept(versions)
        }
    }

    private fun keep(nowMs: Long) {
        if (nowMs - lastKeptMs < KEEP_INTERVAL_MS) return
        lastKeptMs = nowMs
        if (unkept.isEmpty()) return
        effects += ForwardingEffect.Stream(StreamEffect.Keep(unkept.toMap()))
        unkept.clear()
    }

    private fun isOld(start: Start, nowMs: Long): Boolean =
        nowMs - start.atMs > StreamOrigins.STREAM_LIFETIME_MS

    private fun isMixed(pool: PoolId): Boolean = pools[pool]?.isMixed == true

    private fun isResumable(call: ForwardedCall): Boolean =
        (call.route.kind as? WorkKind.EventStream)?.isResumable == true

    /** Returns what others get to know, and forgets it here. */
    fun takeEffects(): List<ForwardingEffect> = effects.toList().also { effects.clear() }

    private fun log(subject: String, change: String, reason: String) {
        effects += ForwardingEffect.LogStateChange(subject, change, reason)
    }

    companion object {
        /** The youngest streams are those that callers take up for longest, in ms. */
        const val TELL_INTERVAL_MS = 50L

        /** Bounds what the loss of all hosts forgets, at seven calls a second and writer, in ms. */
        const val KEEP_INTERVAL_MS = 150L

        /** Keeps a datagram below 6 KB. */
        const val MAX_TOLD = 500

        /** Time for the hosts to tell the version of a stream, unasked or as asked, in ms. */
        const val ASK_WAIT_MS = 300L

        /** Time for a host that starts to read the store, a call that times out included, in ms. */
        const val READ_WAIT_MS = 2_000L
    }
}

/** Changes in the log by which resumed streams are counted. */
public val STREAM_CHANGES: Set<String> = setOf("stream-resumed", "stream-unknown")
