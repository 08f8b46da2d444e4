package cowslipcart.daemon.gateway

import cowslipcart.core.forwarding.ForwardingInput
import cowslipcart.core.forwarding.PoolVersion
import cowslipcart.core.forwarding.StreamEffect
import cowslipcart.core.forwarding.StreamKey
import cowslipcart.core.membership.stableHash
import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.HostId
import cowslipcart.core.model.PoolId
import cowslipcart.core.model.VersionId
import cowslipcart.core.store.StoreError
import cowslipcart.core.store.StoreTable
import cowslipcart.wire.datagram.DatagramCodec
import cowslipcart.wire.datagram.PeerDatagram
import kotlin.random.Random
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.BufferOverflow
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch

/**
 * Stores which versions may have begun streams, and while there are several which one began each
 * recent stream. Reads both when this host starts, so that they outlast the loss of all hosts.
 *
 * @property host host that writes; its streams take [StreamSlots.SLOT_COUNT] records at most
 */
internal class VersionKeeper(
    private val following: StoreFollowing,
    host: HostId,
    random: Random,
    private val submit: (ForwardingInput) -> Unit
) {
    private val health = StoreHealth(StoreTable.VERSIONS, following.eventLog, random)
    private val slots = StreamSlots(host)
    private val confirmations = Channel<Unit>(Channel.CONFLATED)
    private val effects = Channel<StreamEffect>(EFFECT_CAPACITY, BufferOverflow.DROP_OLDEST)

    /** Queues a change of the stored versions, or a read of them; never blocks. */
    fun perform(effect: StreamEffect) {
        if (effect == StreamEffect.Confirm) confirmations.trySend(Unit) else effects.trySend(effect)
    }

    /** Reads the stored versions once, and then stores changes until [scope] is cancelled. */
    fun start(scope: CoroutineScope) {
        scope.launch {
            following.guardUntilDone(StoreTable.VERSIONS) { read() }
            for (effect in effects) following.guard(StoreTable.VERSIONS) { write(effect) }
        }
        scope.launch {
            while (isActive) {
                confirmations.receive()
                following.guard(StoreTable.VERSIONS) { confirm() }
                delay(CONFIRM_PAUSE_MS)
            }
        }
    }

    /**
     * Reads which versions the store and its list of endpoints name now. A read that fails is not
     * repeated: the request that needs it is refused soon, and its caller returns.
     */
    private suspend fun confirm() {
        val asOfMs = following.clock.nowMs()
        val stored = readVersions() ?: return
        val listed = following.store.newest(StoreTable.ENDPOINTS)
            .onLeft { health.onCall(it) }.getOrNull() ?: return
        val running = listed.records.mapNotNull { record ->
            following.decodeOrReport(StoreTable.ENDPOINTS, record) {
                following.decoder.decodeEndpoint(EndpointId(record.key), it)
            }
        }
        val versions = stored + running.map { PoolVersion(it.entry.pool, it.entry.version) }
        submit(ForwardingInput.VersionsConfirmed(versions, asOfMs))
    }

    /** Returns the stored versions, or null if the store does not answer. */
    private suspend fun readVersions(): Set<PoolVersion>? {
        val result = following.store.newest(StoreTable.VERSIONS)
        health.onCall(result.leftOrNull())
        return result.getOrNull()?.records?.mapNotNull { record ->
            following.decodeOrReport(StoreTable.VERSIONS, record) { PoolVersionCodec.decode(it) }
        }?.toSet()
    }

    private suspend fun read() {
        while (true) {
            val versions = readVersions()
            if (versions != null) {
                if (versions.groupBy { it.pool }.any { it.value.size > 1 }) readStreams()
                submit(ForwardingInput.VersionsRead(versions))
                return
            }
            delay(health.retryDelayMs())
        }
    }

    /** Reads the streams of several versions; without them their callers would be refused. */
    private suspend fun readStreams() {
        val result = following.store.newest(StoreTable.STREAMS)
        health.onCall(result.leftOrNull())
        for (record in result.getOrNull()?.records.orEmpty()) {
            val told = following.decodeOrReport(StoreTable.STREAMS, record) {
                DatagramCodec.decode(it).getOrNull() as? PeerDatagram.StreamsTold
            }
            if (told != null) submit(ForwardingInput.StreamsTold(told.versions))
        }
    }

    /** What is not written at once is not repeated, as newer streams wait behind it. */
    private suspend fun keep(versions: Map<StreamKey, VersionId>) {
        val value = DatagramCodec.encode(PeerDatagram.StreamsTold(versions))
        health.onCall(
            following.store.put(StoreTable.STREAMS, slots.next(), value).leftOrNull()
        )
    }

    private suspend fun write(effect: StreamEffect) {
        when (effect) {
            is StreamEffect.Store -> store(effect.version)

            is StreamEffect.Remove -> remove(effect.version)

            is StreamEffect.Keep -> keep(effect.versions)

            is StreamEffect.Answer,
            is StreamEffect.Ask,
            StreamEffect.Confirm,
            is StreamEffect.Tell -> Unit
        }
    }

    private suspend fun store(version: PoolVersion) {
        val key = PoolVersionCodec.keyOf(version)
        val value = PoolVersionCodec.encode(version)
        repeat(MAX_WRITES) {
            val error = following.store.put(StoreTable.VERSIONS, key, value).leftOrNull()
            health.onCall(error)
            if (error == null) {
                submit(ForwardingInput.VersionStored(version))
                return
            }
            delay(health.retryDelayMs())
        }
        following.eventLog.event("version-not-stored", "version" to version.version.value)
    }

    /**
     * Removes [version] unless the table changes meanwhile: another host may store it anew. What is
     * left over makes hosts that start more careful than needed.
     */
    private suspend fun remove(version: PoolVersion) {
        val key = PoolVersionCodec.keyOf(version)
        val result = following.store.newest(StoreTable.VERSIONS)
        health.onCall(result.leftOrNull())
        val snapshot = result.getOrNull() ?: return
        if (snapshot.records.none { it.key == key }) return
        // An empty value removes the key.
        val error = following.store.putAt(StoreTable.VERSIONS, key, ByteArray(0), snapshot.end)
            .leftOrNull()
        if (error !is StoreError.Conflict) health.onCall(error)
    }

    private companion object {
        /** Versions come and go seldom; far more than the pools of a platform. */
        const val EFFECT_CAPACITY = 256

        /** Many streams may break at once; requests wait 300 ms for the read, in ms. */
        const val CONFIRM_PAUSE_MS = 50L

        /** Enough for outages of a minute, at a call in 0.6 s. */
        const val MAX_WRITES = 100
    }
}

/**
 * Keys of the records of streams, written in turn. The keys of many hosts are the same, so that
 * hosts that come and go leave no more than [SLOT_COUNT] times [WRITER_COUNT] records.
 */
internal class StreamSlots(host: HostId) {
    private val writer = Math.floorMod(stableHash(host.value), WRITER_COUNT.toLong())
    private var last = 0

    fun next(): String {
        last = (last + 1) % SLOT_COUNT
        return "$writer/$last"
    }

    companion object {
        /** Streams of 13.5 s, longer than the deadline of a caller, at a record each 0.15 s. */
        const val SLOT_COUNT = 90

        /** About twice the writers at the size to design for; two that share keys lose records. */
        const val WRITER_COUNT = 64
    }
}

/** Encodes a version as `POOL` and `VERSION` in two lines, under a key of bounded length. */
internal object PoolVersionCodec {
    private const val HEX_RADIX = 16

    fun keyOf(version: PoolVersion): String =
        stableHash("${version.pool.value}\n${version.version.value}").toULong().toString(HEX_RADIX)

    fun encode(version: PoolVersion): ByteArray =
        "${version.pool.value}\n${version.version.value}".encodeToByteArray()

    /** Decodes [value]; returns null if it is not valid. */
    fun decode(value: ByteArray): PoolVersion? {
        val lines = value.decodeToString().split('\n', limit = 2)
        if (lines.size != 2 || lines.first().isEmpty()) return null
        return PoolVersion(PoolId(lines.first()), VersionId(lines.last()))
    }
}
