package cowslipcart.core.forwarding

import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.Fingerprint
import kotlin.math.abs

/**
 * What a host tells the others about a request that it refuses. Times are relative, since the
 * clocks of hosts differ.
 *
 * @property crashes the endpoints whose connection was lost while they ran the request
 * @property failedProbes requests that tested the quarantine and crashed an endpoint
 * @property crashedAgoMs time since the last crash
 * @property seenAgoMs time since the request last came to any host
 */
public data class QuarantinedRequest(
    public val fingerprint: Fingerprint,
    public val crashes: List<EndpointCrash>,
    public val failedProbes: Int,
    public val crashedAgoMs: Long,
    public val seenAgoMs: Long
)

/** The last crash of [endpoint], [agoMs] before the report was made. */
public data class EndpointCrash(public val endpoint: EndpointId, public val agoMs: Long)

/** Crashes of the endpoints that ran one request, as far as this host knows them. */
internal class QuarantineRecord {
    /** Time of the last crash by endpoint. */
    private val crashedAtMs = mutableMapOf<EndpointId, Long>()

    /** Endpoints whose connection was lost. */
    val endpoints: Set<EndpointId> get() = crashedAtMs.keys

    var lastCrashAtMs = NEVER_MS
        private set

    /** Last time at which the request came to a host while it was quarantined. */
    private var seenAtMs = NEVER_MS

    /** Last time at which this host sent the quarantined request. */
    var probedAtMs = NEVER_MS

    /** Last time at which the record was reported to the other hosts. */
    var reportedAtMs = NEVER_MS

    var failedProbes = 0
        private set

    /** Whether this host saw one of the crashes itself, so that it stores the quarantine. */
    var hasOwnCrash = false

    val isQuarantined: Boolean get() = crashedAtMs.size >= QUARANTINE_COUNT

    /** Whether the quarantine may still be tested; otherwise it holds as long as it is kept. */
    val mayBeProbed: Boolean get() = failedProbes < MAX_FAILED_PROBES

    /** Time without a crash after which the request is probed. */
    val lapseMs: Long get() = if (failedProbes == 0) FIRST_LAPSE_MS else LATER_LAPSE_MS

    /** Whether the record is too old to matter. */
    fun isExpired(nowMs: Long): Boolean = nowMs - maxOf(lastCrashAtMs, seenAtMs) >=
        if (isQuarantined) QUARANTINE_LIFETIME_MS else SUSPICION_LIFETIME_MS

    /** The request came while it is quarantined. */
    fun onSeen(nowMs: Long) {
        seenAtMs = nowMs
    }

    /** Adds a crash; returns whether it was that of a probe. */
    fun onCrash(endpoint: EndpointId, nowMs: Long): Boolean {
        // Only a probe is sent so late; other requests that break had been sent before.
        val isProbe = isQuarantined && nowMs - lastCrashAtMs >= lapseMs
        if (isProbe) failedProbes++
        if (endpoint in crashedAtMs || crashedAtMs.size < MAX_ENDPOINTS) {
            crashedAtMs[endpoint] = nowMs
        }
        lastCrashAtMs = nowMs
        return isProbe
    }

    /** Removes the crashes for which [isRefuted] holds; returns whether there are any. */
    fun removeCrashes(isRefuted: (EndpointId, Long) -> Boolean): Boolean =
        crashedAtMs.entries.removeIf { (endpoint, atMs) -> isRefuted(endpoint, atMs) }

    /**
     * Adds what another host told at [nowMs]. Of two times for one event the earlier one is the
     * exact one, since a report takes some time; adding the same again changes nothing.
     */
    fun onTold(told: QuarantinedRequest, nowMs: Long) {
        val toldCrashAtMs = nowMs - told.crashedAgoMs
        if (!isQuarantined || told.failedProbes > failedProbes) {
            lastCrashAtMs = toldCrashAtMs
        } else if (told.failedProbes == failedProbes) {
            lastCrashAtMs = minOf(lastCrashAtMs, toldCrashAtMs)
        }
        failedProbes = maxOf(failedProbes, told.failedProbes)
        for (crash in told.crashes) addTold(crash.endpoint, nowMs - crash.agoMs)
        val toldSeenAtMs = nowMs - told.seenAgoMs
        if (toldSeenAtMs > seenAtMs + SAME_TIME_MS) seenAtMs = toldSeenAtMs
    }

    private fun addTold(endpoint: EndpointId, atMs: Long) {
        val knownMs = crashedAtMs[endpoint]
        if (knownMs == null && crashedAtMs.size >= MAX_ENDPOINTS) return
        val isSame = knownMs != null && abs(atMs - knownMs) < SAME_TIME_MS
        crashedAtMs[endpoint] = when {
            knownMs == null -> atMs
            isSame -> minOf(atMs, knownMs)
            else -> maxOf(atMs, knownMs)
        }
    }

    fun toQuarantinedRequest(fingerprint: Fingerprint, nowMs: Long) = QuarantinedRequest(
        fingerprint,
        crashedAtMs.map { (endpoint, atMs) -> EndpointCrash(endpoint, nowMs - atMs) },
        failedProbes,
        nowMs - lastCrashAtMs,
        nowMs - maxOf(seenAtMs, lastCrashAtMs)
    )

    companion object {
        /** A time before all others. */
        const val NEVER_MS = Long.MIN_VALUE / 4

        /** Two crashes may be caused by another request that ran at the same endpoints. */
        const val QUARANTINE_COUNT = 3

        /** Bounds the record and its entry in a report. */
        const val MAX_ENDPOINTS = 6

        /** Time from the last crash until a quarantine is forgotten, in ms. */
        const val QUARANTINE_LIFETIME_MS = 1_800_000L

        /**
         * Probes of all hosts that may crash an endpoint. Each one cuts what others have running
         * there, and the platform allows three, of which one is left for two hosts that probe at
         * once.
         */
        const val MAX_FAILED_PROBES = 2

        /**
         * Time without a crash after which a request is probed first, in ms. Endpoints that reset
         * connections for a while are sound again within seconds.
         */
        private const val FIRST_LAPSE_MS = 5_000L

        /** The same after a failed probe, in ms: for endpoints that fail for longer. */
        private const val LATER_LAPSE_MS = 30_000L

        /** A caller whose request crashes endpoints sends it again within this time, in ms. */
        private const val SUSPICION_LIFETIME_MS = 60_000L

        /** Longer than a report takes, also by a relay, in ms. */
        private const val SAME_TIME_MS = 10_000L
    }
}
