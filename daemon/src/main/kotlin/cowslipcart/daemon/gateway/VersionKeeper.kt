package cowslipcart.daemon.gateway

import cowslipcart.core.forwarding.ForwardingInput
import cowslipcart.core.forwarding.PoolVersion
import cowslipcart.core.forwarding.StreamEffect
import cowslipcart.core.membership.stableHash
import cowslipcart.core.model.PoolId
import cowslipcart.core.model.VersionId
import cowslipcart.core.store.StoreError
import cowslipcart.core.store.StoreTable
import kotlin.random.Random
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.BufferOverflow
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch

/**
 * Stores which versions may have begun streams, and reads them when this host starts, so that hosts
 * know of the versions that have left although all hosts stopped at once.
 */
internal class VersionKeeper(
    private val following: StoreFollowing,
    random: Random,
    private val submit: (ForwardingInput) -> Unit
) {
    private val health = StoreHealth(StoreTable.VERSIONS, following.eventLog, random)
    private val effects = Channel<StreamEffect>(EFFECT_CAPACITY, BufferOverflow.DROP_OLDEST)

    /** Queues a change of the stored versions; never blocks. */
    fun perform(effect: StreamEffect) {
        effects.trySend(effect)
    }

    /** Reads the stored versions once, and then stores changes until [scope] is cancelled. */
    fun start(scope: CoroutineScope) {
        scope.launch {
            following.guardUntilDone(StoreTable.VERSIONS) { read() }
            for (effect in effects) following.guard(StoreTable.VERSIONS) { write(effect) }
        }
    }

    private suspend fun read() {
        while (true) {
            val result = following.store.newest(StoreTable.VERSIONS)
            health.onCall(result.leftOrNull())
            val snapshot = result.getOrNull()
            if (snapshot != null) {
                val versions = snapshot.records.mapNotNull { record ->
                    following.decodeOrReport(StoreTable.VERSIONS, record) {
                        PoolVersionCodec.decode(it)
                    }
                }
                submit(ForwardingInput.VersionsRead(versions.toSet()))
                return
            }
            delay(health.retryDelayMs())
        }
    }

    private suspend fun write(effect: StreamEffect) {
        when (effect) {
            is StreamEffect.Store -> store(effect.version)

            is StreamEffect.Remove -> remove(effect.version)

            is StreamEffect.Answer,
            is StreamEffect.Ask,
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

        /** Enough for outages of a minute, at a call in 0.6 s. */
        const val MAX_WRITES = 100
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
