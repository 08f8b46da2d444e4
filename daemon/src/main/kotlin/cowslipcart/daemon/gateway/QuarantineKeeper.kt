package cowslipcart.daemon.gateway

import cowslipcart.core.forwarding.EndpointCrash
import cowslipcart.core.forwarding.ForwardingInput
import cowslipcart.core.forwarding.QuarantineEffect
import cowslipcart.core.forwarding.QuarantinedRequest
import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.Fingerprint
import cowslipcart.core.store.StoreTable
import kotlin.random.Random
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.BufferOverflow
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch

/**
 * Stores the quarantines of requests in the platform's store, and reads them when this host starts,
 * so that they outlast the loss of all hosts.
 */
internal class QuarantineKeeper(
    private val following: StoreFollowing,
    random: Random,
    private val submit: (ForwardingInput) -> Unit
) {
    private val clock = following.clock
    private val health = StoreHealth(StoreTable.QUARANTINES, following.eventLog, random)
    private val effects = Channel<QuarantineEffect>(EFFECT_CAPACITY, BufferOverflow.DROP_OLDEST)

    /** Queues a decision of the control thread; never blocks. */
    fun perform(effect: QuarantineEffect) {
        effects.trySend(effect)
    }

    /** Reads the stored quarantines once, and stores changes until [scope] is cancelled. */
    fun start(scope: CoroutineScope) {
        scope.launch { following.guardUntilDone(StoreTable.QUARANTINES) { read() } }
        scope.launch {
            for (effect in effects) following.guard(StoreTable.QUARANTINES) { write(effect) }
        }
    }

    private suspend fun read() {
        var pauseMs = FIRST_READ_PAUSE_MS
        while (true) {
            val result = following.store.newest(StoreTable.QUARANTINES)
            health.onCall(result.leftOrNull())
            val snapshot = result.getOrNull()
            if (snapshot == null) {
                delay(pauseMs)
                pauseMs = minOf(2 * pauseMs, MAX_READ_PAUSE_MS)
                continue
            }
            val quarantines = snapshot.records.mapNotNull { record ->
                following.decodeOrReport(StoreTable.QUARANTINES, record) {
                    QuarantineCodec.decode(Fingerprint(record.key), it, clock.wallNowMs())
                }
            }
            if (quarantines.isNotEmpty()) submit(ForwardingInput.QuarantinesRead(quarantines))
            return
        }
    }

    private suspend fun write(effect: QuarantineEffect) {
        val (key, value) = when (effect) {
            is QuarantineEffect.Keep ->
                effect.request.fingerprint to
                    QuarantineCodec.encode(effect.request, clock.wallNowMs())

            // An empty value removes the key.
            is QuarantineEffect.Drop -> effect.fingerprint to ByteArray(0)
        }
        repeat(MAX_WRITES) {
            val error = following.store.put(StoreTable.QUARANTINES, key.value, value).leftOrNull()
            health.onCall(error)
            if (error == null) return
            delay(health.retryDelayMs())
        }
        following.eventLog.event("quarantine-not-stored", "request" to key.value)
    }

    private companion object {
        /** Quarantines are rare; more at once than this are left to the reports of the hosts. */
        const val EFFECT_CAPACITY = 64

        /** Enough for outages of a minute, at a call in 0.6 s. */
        const val MAX_WRITES = 100

        /** Pauses after a failed read, in ms. */
        const val FIRST_READ_PAUSE_MS = 500L
        const val MAX_READ_PAUSE_MS = 30_000L
    }
}

/** Encodes a quarantine as `FAILED_PROBES CRASHED_AT_WALL_MS ENDPOINT,ENDPOINT`. */
internal object QuarantineCodec {
    private const val FIELD_COUNT = 3
    private const val MAX_ENDPOINTS = 64
    private val FAILED_PROBES = 0..1_000
    private val WALL_MS = 0L..4_102_444_800_000L

    fun encode(request: QuarantinedRequest, wallNowMs: Long): ByteArray {
        val crashedAtMs = wallNowMs - request.crashedAgoMs
        val endpoints = request.crashes.joinToString(",") { it.endpoint.value }
        return "${request.failedProbes} $crashedAtMs $endpoints".encodeToByteArray()
    }

    /**
     * Decodes [value]; returns null if it is not valid. When the request last came is not stored,
     * so it counts as just seen.
     */
    fun decode(fingerprint: Fingerprint, value: ByteArray, wallNowMs: Long): QuarantinedRequest? {
        val fields = value.decodeToString().split(' ')
        if (fields.size != FIELD_COUNT) return null
        val failedProbes = fields[0].toIntOrNull()?.takeIf { it in FAILED_PROBES } ?: return null
        val crashedAtMs = fields[1].toLongOrNull()?.takeIf { it in WALL_MS } ?: return null
        val endpoints = fields[2].split(',').filter { it.isNotEmpty() }.map { EndpointId(it) }
        if (endpoints.size !in 1..MAX_ENDPOINTS) return null
        val agoMs = (wallNowMs - crashedAtMs).coerceAtLeast(0)
        return QuarantinedRequest(
            fingerprint,
            endpoints.distinct().map { EndpointCrash(it, agoMs) },
            failedProbes,
            crashedAgoMs = agoMs,
            seenAgoMs = 0
        )
    }
}
