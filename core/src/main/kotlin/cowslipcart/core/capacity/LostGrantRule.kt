package cowslipcart.core.capacity

/**
 * Finds grants that never reached their origin: those that a live origin does not confirm. The
 * grants of an origin that sends nothing at all stay until it is declared dead.
 */
internal class LostGrantRule(private val state: ShardState) {
    /** Whether the grant was lost, given that its origin has just submitted the request again. */
    fun wasLost(work: RunningWork, nowMs: Long): Boolean =
        !work.isConfirmed && nowMs - work.grantedAtMs >= RESUBMIT_TIMEOUT_MS

    /** Unconfirmed grants whose origin sent a message long after the grant. */
    fun findLost(): List<RunningWork> = state.grants.filter { work ->
        val heardMs = state.lastSeenMs(work.request.origin)
        !work.isConfirmed && heardMs - work.grantedAtMs >= CONFIRM_TIMEOUT_MS
    }

    private companion object {
        // The origin returns grants for a submission older than 1.5 s; this adds 0.5 s for delays.
        const val RESUBMIT_TIMEOUT_MS = 2_000L

        // Ten times the interval of progress reports.
        const val CONFIRM_TIMEOUT_MS = 10_000L
    }
}
