package cowslipcart.core.config

import cowslipcart.core.model.Configuration
import cowslipcart.core.model.DeclarationKey
import cowslipcart.core.model.LogOffset
import cowslipcart.core.model.Revision

/** Returns a replica that has applied nothing. */
public fun createConfigReplica(): ConfigReplica = ReplayingConfigReplica()

/** Shown as the winner of a conflict that a replica did not see being decided. */
public const val UNKNOWN_AUTHOR: String = "unknown"

private class ReplayingConfigReplica(
    initialState: ConfigState = ConfigState(LogOffset(0), Configuration.EMPTY),
    private val authors: AuthorHistory = AuthorHistory()
) : ConfigReplica {
    override var state = initialState
        private set

    override var readFrom = LogOffset(0)
        private set

    private var replayStart: ReplayStart = ReplayStart.NothingToReplay

    /** Replays the records that a peer's state has overtaken, since their authors await verdicts. */
    private var overtaken: ReplayingConfigReplica? = null

    override fun apply(
        records: List<ConfigRecord>,
        firstKeptOffset: LogOffset
    ): List<ConfigVerdict> {
        val verdicts = mutableListOf<ConfigVerdict>()
        for (record in records) {
            if (record.offset < state.nextOffset) {
                verdicts += applyOvertaken(record, firstKeptOffset)
                continue
            }
            val verdict = if (record.offset == state.nextOffset) {
                applyNext(record)
            } else {
                // A record above the next one follows a gap. Only a trimmed gap may be skipped.
                if (firstKeptOffset <= state.nextOffset) break
                restore(record)
            }
            verdict?.let { verdicts += it }
            readFrom = maxOf(readFrom, record.offset.next())
        }
        return verdicts
    }

    private fun applyOvertaken(
        record: ConfigRecord,
        firstKeptOffset: LogOffset
    ): List<ConfigVerdict> {
        val replay = overtaken ?: return emptyList()
        val verdicts = replay.apply(listOf(record), firstKeptOffset)
        if (replay.state.nextOffset >= state.nextOffset) overtaken = null
        return verdicts
    }

    private fun applyNext(record: ConfigRecord): ConfigVerdict {
        val verdict = when (val entry = record.entry) {
            is ConfigEntry.Publish -> change(record, entry.baseRevision, entry.author) {
                publish(entry)
            }

            is ConfigEntry.SwitchPreset -> change(record, entry.baseRevision, entry.author) {
                switchPreset(entry)
            }

            is ConfigEntry.Checkpoint -> {
                val isValid = isValidCheckpoint(record, entry)
                if (isValid) replayStart = ReplayStart.At(record.appendedAtMs)
                ConfigVerdict.CheckpointSeen(record.offset, isValid)
            }

            null -> ConfigVerdict.Invalid(record.offset, listOf("expected a readable record"))
        }
        if (replayStart == ReplayStart.NothingToReplay) {
            replayStart = ReplayStart.At(record.appendedAtMs)
        }
        state = state.copy(nextOffset = record.offset.next())
        return verdict
    }

    private fun restore(record: ConfigRecord): ConfigVerdict? {
        val checkpoint = record.entry as? ConfigEntry.Checkpoint
        if (checkpoint == null || !isValidCheckpoint(record, checkpoint)) return null
        state = ConfigState(record.offset.next(), checkpoint.configuration)
        replayStart = ReplayStart.At(record.appendedAtMs)
        return ConfigVerdict.CheckpointSeen(record.offset, isValid = true)
    }

    private fun isValidCheckpoint(record: ConfigRecord, checkpoint: ConfigEntry.Checkpoint) =
        checkpoint.throughOffset == record.offset

    private fun change(
        record: ConfigRecord,
        baseRevision: Revision,
        author: String,
        makeChange: () -> Change
    ): ConfigVerdict {
        val current = state.configuration.revision
        if (baseRevision < current) {
            return ConfigVerdict.Conflict(
                record.offset,
                baseRevision,
                current,
                authors.find(baseRevision.next())
            )
        }
        if (baseRevision > current) {
            val fault = "expected a base revision of at most $current, found $baseRevision"
            return ConfigVerdict.Invalid(record.offset, listOf(fault))
        }
        val change = makeChange()
        if (change.faults.isNotEmpty()) return ConfigVerdict.Invalid(record.offset, change.faults)
        state = state.copy(configuration = change.configuration)
        authors.add(change.configuration.revision, author)
        return ConfigVerdict.Accepted(record.offset, change.configuration.revision, author)
    }

    private fun publish(entry: ConfigEntry.Publish): Change =
        applyChanges(state.configuration, entry)

    private fun switchPreset(entry: ConfigEntry.SwitchPreset): Change {
        val current = state.configuration
        val next = current.switchTo(entry.preset)
        return if (DeclarationKey.Preset(entry.preset) in current.declarations) {
            Change(next, emptyList())
        } else {
            Change(next, listOf("expected a declared preset, found none named ${entry.preset}"))
        }
    }

    override fun adopt(peerState: ConfigState): Boolean {
        if (peerState.nextOffset <= state.nextOffset) return false
        overtaken = overtaken ?: ReplayingConfigReplica(state, authors)
        state = peerState
        readFrom = maxOf(readFrom, peerState.nextOffset)
        replayStart = ReplayStart.NotSeen
        return true
    }

    override fun proposeCheckpoint(logNowMs: Long, retentionMs: Long): ConfigEntry.Checkpoint? {
        val isDue = when (val start = replayStart) {
            ReplayStart.NothingToReplay -> false
            ReplayStart.NotSeen -> true
            is ReplayStart.At -> logNowMs - start.appendedAtMs > retentionMs / RETENTION_PARTS
        }
        return if (isDue) ConfigEntry.Checkpoint(state.nextOffset, state.configuration) else null
    }

    private companion object {
        const val RETENTION_PARTS = 3
    }
}

/** Log time of the oldest record that a replay to the current state needs. */
private sealed interface ReplayStart {
    /** No record was applied. */
    data object NothingToReplay : ReplayStart

    /**
     * The state came from a peer, so the age of the log's records is not known. If every host came
     * up like this, no checkpoint would be written in time, so one is due at once.
     */
    data object NotSeen : ReplayStart

    data class At(val appendedAtMs: Long) : ReplayStart
}

/** Authors of the latest revisions, so that a conflict can name its winner. */
private class AuthorHistory {
    private val authors = LinkedHashMap<Revision, String>()

    fun add(revision: Revision, author: String) {
        authors[revision] = author
        if (authors.size > MAX_REVISIONS) authors.remove(authors.keys.first())
    }

    fun find(revision: Revision): String = authors[revision] ?: UNKNOWN_AUTHOR

    private companion object {
        /** About a day of changes at planned size. */
        const val MAX_REVISIONS = 1_100
    }
}
