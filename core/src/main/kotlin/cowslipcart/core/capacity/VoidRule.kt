package cowslipcart.core.capacity

/**
 * Finds grants that never reached their origin. Only the silence of a living origin counts: the
 * grants of an origin that is not heard of at all stay until it is declared dead.
 */
internal class VoidRule(private val state: ShardState) {
    /** Whether the grant was lost, given that its origin asks for the same request again. */
    fun wasLost(work: RunningWork, nowMs: Long): Boolean =
        !work.isConfirmed && nowMs - work.grantedAtMs >= LOST_AFTER_MS

    /** Unconfirmed grants whose origin was heard of long after the grant. */
    fun findUnconfirmed(): List<RunningWork> = state.grants.filter { work ->
        val heardMs = state.lastSignOfLifeMs(work.request.origin)
        !work.isConfirmed && heardMs - work.grantedAtMs >= VOID_AFTER_MS
    }

    private companion object {
        // The origin gives back grants whose ask is older than 1.5 s; this leaves 0.5 s for delays.
        const val LOST_AFTER_MS = 2_000L

        // Ten times the interval of progress reports.
        const val VOID_AFTER_MS = 10_000L
    }
}
