package cowslipcart.core.rollout

/**
 * Says when this host may write the next record. Hosts of a later rank wait longer, so that usually
 * one host writes; the store keeps apart those that write at once.
 */
internal class WriteTurn {
    private var dueStep: RolloutStep? = null
    private var dueSinceMs = 0L
    private var writtenAtMs = Long.MIN_VALUE / 2

    /** Whether this host, of [rank], may now write that [step] begins; null if none is due. */
    fun isMine(step: RolloutStep?, rank: Int, nowMs: Long): Boolean {
        if (step == null || step != dueStep) {
            dueStep = step
            dueSinceMs = nowMs
        }
        if (step == null || nowMs - writtenAtMs < ANSWER_MS) return false
        return nowMs - dueSinceMs >= minOf(rank, MAX_RANK) * TURN_MS
    }

    /** A record was sent to the store. */
    fun onWritten(nowMs: Long) {
        writtenAtMs = nowMs
    }

    /** The store refused the record, or did not answer; the table is read before the next try. */
    fun onFailed() {
        writtenAtMs = Long.MIN_VALUE / 2
    }

    private companion object {
        /** A host that is slow to write, or killed, is replaced after this time. */
        const val TURN_MS = 700L
        const val MAX_RANK = 6

        /** A write and the read after it take no longer, in ms. */
        const val ANSWER_MS = 1_500L
    }
}
