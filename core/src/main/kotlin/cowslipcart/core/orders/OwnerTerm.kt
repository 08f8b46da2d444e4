package cowslipcart.core.orders

import cowslipcart.core.claims.AttemptOrigin
import cowslipcart.core.model.LogOffset
import cowslipcart.core.model.ShardId
import kotlin.random.Random

/**
 * The time in which this process takes itself for the owner of a shard. It may issue orders from
 * when it has read its own record back until it reads a later one of another process.
 */
public class OwnerTerm(
    private val shard: ShardId,
    private val process: AttemptOrigin,
    private val stream: OwnerStream,
    private val random: Random,
    startedAtMs: Long
) {
    private sealed interface State {
        data class Waiting(val untilMs: Long) : State

        data object Appending : State

        data class Appended(val offset: LogOffset) : State
    }

    private var state: State = State.Waiting(startedAtMs + jittered(FIRST_DELAY_MS))

    /** Offset of this process's record, which orders carry; null while it must not order. */
    public val ownerOffset: LogOffset?
        get() {
            val appended = state as? State.Appended ?: return null
            val last = stream.lastOf(shard) ?: return null
            return last.offset.takeIf { last.process == process && it >= appended.offset }
        }

    /** Returns the record to append now, or null. */
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
            val isRead = stream.nextOffset > current.offset
            if (isRead && ownerOffset == null) waitFor(RENEWAL_DELAY_MS, nowMs)
            null
        }
    }

    /** The record was appended at [offset]; it counts once it is read back. */
    public fun onAppended(offset: LogOffset) {
        if (state == State.Appending) state = State.Appended(offset)
    }

    /** The append failed or its answer was lost; a second record of a process is harmless. */
    public fun onAppendFailed(nowMs: Long) {
        if (state == State.Appending) waitFor(RETRY_DELAY_MS, nowMs)
    }

    private fun waitFor(delayMs: Long, nowMs: Long) {
        state = State.Waiting(nowMs + jittered(delayMs))
    }

    /** Between one and two times [delayMs], so that two processes do not stay in step. */
    private fun jittered(delayMs: Long) = delayMs + random.nextLong(delayMs)

    private companion object {
        /** A process that starts sees itself as the only host until the membership has settled. */
        const val FIRST_DELAY_MS = 10_000L
        const val RETRY_DELAY_MS = 2_000L

        /**
         * Bounds the records that two processes write while both take themselves for the owner. A
         * process that was replaced by mistake orders again after this time.
         */
        const val RENEWAL_DELAY_MS = 30_000L
    }
}
