package cowslipcart.core.claims

import cowslipcart.core.membership.rendezvousOwner
import cowslipcart.core.model.LogOffset

/** Creates an empty replica that expects the record at offset 0 first. */
public fun createKeyEpochs(): KeyEpochs = ReplayedKeyEpochs()

private class ReplayedKeyEpochs : KeyEpochs {
    private val epochs = ArrayDeque<EpochEntry.Epoch>()

    /** False after a gap in the stream, until a valid checkpoint fills it. */
    private var isComplete = true
    private var recordsSinceCheckpoint = 0

    override var nextOffset: LogOffset = LogOffset(0)
        private set

    override fun apply(record: EpochRecord) {
        val offset = record.offset
        if (offset < nextOffset) return
        if (offset > nextOffset) isComplete = false
        nextOffset = offset.next()
        recordsSinceCheckpoint++
        when (val entry = record.entry) {
            is EpochEntry.Epoch -> if (isComplete) add(entry, record.appendedAtMs)
            is EpochEntry.ExtendEpoch -> if (isComplete) extend(entry, record.appendedAtMs)
            is EpochEntry.Checkpoint -> if (entry.throughOffset.next() == offset) restore(entry)
            null -> Unit
        }
        dropOldEpochs()
    }

    override fun ownerOf(key: RequestKey): KeyOwner {
        val last = epochs.lastOrNull() ?: return KeyOwner.NotYetCovered
        if (key.keyTimeMs >= last.untilKeyTimeMs) return KeyOwner.NotYetCovered
        val epoch = epochs.lastOrNull { it.fromKeyTimeMs <= key.keyTimeMs }
            ?: return KeyOwner.BeforeHistory
        val host = rendezvousOwner(hashInput(key), epoch.hosts.map { it.host })
        return KeyOwner.Known(epoch.hosts.first { it.host == host })
    }

    override fun proposeEntry(live: List<ProcessId>, wallNowMs: Long): EpochEntry? {
        if (!isComplete || live.isEmpty()) return null
        val hosts = live.distinctBy { it.host }.sortedBy { it.host }
        val last = epochs.lastOrNull()
        val untilMs = wallNowMs + EPOCH_HORIZON_MS
        return when {
            last == null -> EpochEntry.Epoch(1, hosts, wallNowMs - MAX_KEY_AGE_MS, untilMs)
            isCheckpointOverdue() -> checkpointIfDue()
            last.untilKeyTimeMs - wallNowMs >= RENEW_BEFORE_END_MS -> checkpointIfDue()
            last.hosts == hosts -> EpochEntry.ExtendEpoch(last.number, untilMs)
            else -> EpochEntry.Epoch(last.number + 1, hosts, last.untilKeyTimeMs, untilMs)
        }
    }

    private fun add(entry: EpochEntry.Epoch, appendedAtMs: Long) {
        val last = epochs.lastOrNull()
        val isSuccessor = when (last) {
            null -> entry.number == 1L

            else ->
                entry.number == last.number + 1 && entry.fromKeyTimeMs == last.untilKeyTimeMs
        }
        val fromMs = when (last) {
            null -> minOf(entry.fromKeyTimeMs, appendedAtMs - MAX_KEY_AGE_MS)
            else -> entry.fromKeyTimeMs
        }
        val untilMs = clampEnd(entry.untilKeyTimeMs, appendedAtMs)
        if (!isSuccessor || entry.hosts.isEmpty() || untilMs <= fromMs) return
        epochs += entry.copy(fromKeyTimeMs = fromMs, untilKeyTimeMs = untilMs)
    }

    private fun extend(entry: EpochEntry.ExtendEpoch, appendedAtMs: Long) {
        val last = epochs.lastOrNull() ?: return
        val untilMs = clampEnd(entry.untilKeyTimeMs, appendedAtMs)
        if (entry.number != last.number || untilMs <= last.untilKeyTimeMs) return
        epochs[epochs.lastIndex] = last.copy(untilKeyTimeMs = untilMs)
    }

    /**
     * Limits the end of an epoch by the clock of the log, which all readers share, because the
     * writer's clock may be fast. Keys further in the future are rejected in any case.
     */
    private fun clampEnd(untilKeyTimeMs: Long, appendedAtMs: Long): Long =
        minOf(untilKeyTimeMs, appendedAtMs + MAX_KEY_AHEAD_MS)

    private fun restore(checkpoint: EpochEntry.Checkpoint) {
        recordsSinceCheckpoint = 0
        if (isComplete) return
        isComplete = true
        epochs.clear()
        epochs.addAll(checkpoint.epochs)
    }

    /**
     * Whether a checkpoint goes before a renewal. A writer whose clock is fast always finds the end
     * due for renewal and would write no checkpoint otherwise.
     */
    private fun isCheckpointOverdue(): Boolean =
        recordsSinceCheckpoint >= 2 * RECORDS_PER_CHECKPOINT

    private fun checkpointIfDue(): EpochEntry? = when {
        recordsSinceCheckpoint < RECORDS_PER_CHECKPOINT -> null
        else -> EpochEntry.Checkpoint(LogOffset(nextOffset.value - 1), epochs.toList())
    }

    private fun dropOldEpochs() {
        val last = epochs.lastOrNull() ?: return
        while (epochs.first().untilKeyTimeMs < last.untilKeyTimeMs - EPOCH_RETENTION_MS) {
            epochs.removeFirst()
        }
    }
}

/** Limits how long the keys of a dead owner are answered "outcome unknown". */
private const val EPOCH_HORIZON_MS = 120_000L

/** Half of the horizon, so that one lost renewal does not leave key times without an owner. */
private const val RENEW_BEFORE_END_MS = 60_000L

/** Keys can be claimed for 1 h; the rest allows for the horizon and clock skew of minutes. */
private const val EPOCH_RETENTION_MS = MAX_KEY_AGE_MS + 10 * 60_000L

/** With one renewal a minute, this gives about one checkpoint every half hour. */
private const val RECORDS_PER_CHECKPOINT = 32
