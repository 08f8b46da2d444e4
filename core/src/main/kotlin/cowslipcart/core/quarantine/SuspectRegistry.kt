package cowslipcart.core.quarantine

import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.Fingerprint

/**
 * Registry of the fingerprints of requests that were running when an endpoint crashed. Each host
 * keeps its own and learns of crashes from the reports of all hosts. An entry expires
 * [ENTRY_LIFETIME_MS] after its last crash. `nowMs` is monotonic time in milliseconds.
 */
public interface SuspectRegistry {
    /**
     * One report for each quarantined fingerprint, the least recent first. Each is enough for
     * another registry to quarantine it.
     */
    public val quarantiningReports: List<CrashReport>

    /** Returns how to treat a request with [fingerprint]. */
    public fun statusOf(fingerprint: Fingerprint, nowMs: Long): QuarantineStatus

    /** Returns the endpoints known to have crashed while they ran [fingerprint]. */
    public fun crashedEndpoints(fingerprint: Fingerprint): Set<EndpointId>

    /** Handles a crash report. A repeated report of the same crash changes nothing. */
    public fun onCrash(report: CrashReport, nowMs: Long)

    /** Ends the suspicion of [fingerprint], as such a request completed. A quarantine stays. */
    public fun onCompleted(fingerprint: Fingerprint, nowMs: Long)

    /** Removes expired entries. */
    public fun tick(nowMs: Long)

    public companion object {
        /** Lifetime of an entry, counted from its last crash. */
        public const val ENTRY_LIFETIME_MS: Long = 3_600_000
    }
}

/**
 * A crash of an endpoint while requests ran on it.
 *
 * @property crashId identifies the crash; the same in all reports of it
 * @property fingerprints requests that were running on the endpoint
 * @property ranAlone whether there was only one request in the batch
 * @property earlierEndpoints [SuspectRegistry.crashedEndpoints] of the single fingerprint at the
 * reporting host, empty unless [ranAlone]. With it, a host that receives the reports of two crashes
 * in the wrong order still quarantines the fingerprint.
 */
public data class CrashReport(
    public val crashId: String,
    public val endpoint: EndpointId,
    public val fingerprints: List<Fingerprint>,
    public val ranAlone: Boolean,
    public val earlierEndpoints: Set<EndpointId> = emptySet()
)

/** How to treat a request. */
public enum class QuarantineStatus {
    /** Run it normally. */
    CLEAR,

    /** It was in the batch of an endpoint that crashed; run it alone. */
    SUSPECT,

    /** It crashed a second endpoint while it ran alone; refuse it. */
    QUARANTINED
}
