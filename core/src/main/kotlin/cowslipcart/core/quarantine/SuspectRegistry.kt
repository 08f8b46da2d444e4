package cowslipcart.core.quarantine

import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.Fingerprint

/**
 * Fingerprints of requests that were running when an endpoint crashed. Each host keeps one; crash
 * reports spread the entries. An entry lives [ENTRY_LIFETIME_MS].
 */
public interface SuspectRegistry {
    /** Returns how a request with [fingerprint] has to be treated. */
    public fun standing(fingerprint: Fingerprint, nowMs: Long): Standing

    /** Endpoints that crashed with [fingerprint] in their batch, as far as this host knows. */
    public fun crashedEndpoints(fingerprint: Fingerprint): Set<EndpointId>

    /** Takes a crash report. A repeated report of the same crash changes nothing. */
    public fun onCrash(report: CrashReport, nowMs: Long)

    /** A request with [fingerprint] finished; the suspicion is dropped. Quarantine stays. */
    public fun onCompleted(fingerprint: Fingerprint, nowMs: Long)

    /** Drops entries that are too old. */
    public fun tick(nowMs: Long)

    public companion object {
        /** Lifetime of an entry since its last crash. */
        public const val ENTRY_LIFETIME_MS: Long = 3_600_000
    }
}

/**
 * A crash of an endpoint while requests ran on it.
 *
 * @property crashId the same in all reports of one crash
 * @property ranAlone whether the single fingerprint was the only request in the batch
 * @property earlierEndpoints [SuspectRegistry.crashedEndpoints] of the single fingerprint at the
 * reporting host, empty unless [ranAlone]. A host that receives the reports of two crashes in the
 * wrong order still quarantines the fingerprint.
 */
public data class CrashReport(
    public val crashId: String,
    public val endpoint: EndpointId,
    public val fingerprints: List<Fingerprint>,
    public val ranAlone: Boolean,
    public val earlierEndpoints: Set<EndpointId> = emptySet()
)

/** Treatment of a request. */
public enum class Standing {
    /** Runs normally. */
    CLEAR,

    /** Was in the batch of a crashed endpoint; runs alone. */
    SUSPECT,

    /** Crashed two endpoints; is refused. */
    QUARANTINED
}
