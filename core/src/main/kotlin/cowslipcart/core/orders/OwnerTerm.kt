package cowslipcart.core.orders

import cowslipcart.core.claims.ProcessId
import cowslipcart.core.model.LogOffset
import cowslipcart.core.model.ShardId
import kotlin.random.Random

/**
 * Ownership of the orders of one shard, from when this process considers itself the owner. The
 * process may issue orders once it has read its own record back from the log, until it reads a
 * later record of another process.
 */
public class OwnerTerm(
    private val shard: ShardId,
    private val process: ProcessId,
    private val replica: OwnerReplica,
    private val random: Random,
    startedAtMs: Long
) {
    private sealed interface State {
        data class Waiting(val untilMs: Long) : State

        data object Appending : State

        data class Appended(val offset: LogOffset) : State
    }

    private var state: State = State.Waiting(startedAtMs + jittered(INITIAL_DELAY_MS))

    /** Offset of this process's record, which orders carry; null while it must not issue any. */
    public val ownerOffset: LogOffset?
        get() {
            val appended = state as? State.Appended ?: return null
            val recorded = replica.findOwner(shard) ?: return null
            return recorded.offset.takeIf { recorded.process == process && it >= appended.offset }
        }

    /** Returns the record to append to the stream `owners` now, or null if none is due. */
    public fun tick(nowMs: Long): OwnerEntry.TakeOver? = when (val current = state) {
        is State.Waiting -> {
            if (nowMs < current.untilMs) {
                null
            } else {
                state = State.Appending
                OwnerEntry.TakeOver(shard, process)
            }
        }

        State.Appending -> null

        is State.Appended -> {
            val isReadBack = replica.nextOffset > current.offset
            if (isReadBack && ownerOffset == null) waitFor(RETAKE_DELAY_MS, nowMs)
            null
        }
    }

    /** The record was appended at [offset]; it takes effect when it is read back. */
    public fun onAppended(offset: LogOffset) {
        if (state == State.Appending) state = State.Appended(offset)
    }

    /**
     * The append failed or its acknowledgement was lost. It is repeated; a second record of the
     * same process is harmless.
     */
    public fun onAppendFailed(nowMs: Long) {
        if (state == State.Appending) waitFor(RETRY_DELAY_MS, nowMs)
    }

    private fun waitFor(delayMs: Long, nowMs: Long) {
        state = State.Waiting(nowMs + jittered(delayMs))
    }

    /** Returns one to two times [delayMs], so that two processes do not keep appending together. */
    private fun jittered(delayMs: Long) = delayMs + random.nextLong(delayMs)

    private companion object {
        /** A process that just started sees no other host until the membership has settled. */
        const val INITIAL_DELAY_MS = 10_000L
        const val RETRY_DELAY_MS = 2_000L

        /**
         * Limits how often two processes that both consider themselves the owner append records.
         * A process that was replaced by mistake takes over again after this time.
         */
        const val RETAKE_DELAY_MS = 30_000L
    }
}
