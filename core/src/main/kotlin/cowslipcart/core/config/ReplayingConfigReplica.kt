package cowslipcart.core.config

import cowslipcart.core.model.Configuration
import cowslipcart.core.model.DeclarationKey
import cowslipcart.core.model.LogOffset
import cowslipcart.core.model.Revision

/** Creates a replica with an empty configuration at offset 0. */
public fun createConfigReplica(): ConfigReplica = ReplayingConfigReplica()

/** Winner of a conflict if the replica has not replayed the winning record. */
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

    /**
     * Replica at the state from before a peer's state was adopted; null if it has caught up. It
     * replays the records that were skipped, since their authors wait for the verdicts.
     */
    private var trailingReplica: ReplayingConfigReplica? = null

    override fun apply(
        records: List<ConfigRecord>,
        firstKeptOffset: LogOffset
    ): List<ConfigVerdict> {
        val verdicts = mutableListOf<ConfigVerdict>()
        for (record in records) {
            if (record.offset < state.nextOffset) {
                verdicts += applySkipped(record, firstKeptOffset)
                continue
            }
            val verdict = if (record.offset == state.nextOffset) {
                applyNext(record)
            } else {
                // The record follows a gap, which may be skipped only if the log was trimmed.
                if (firstKeptOffset <= state.nextOffset) break
                restoreFrom(record)
            }
            verdict?.let { verdicts += it }
            readFrom = maxOf(readFrom, record.offset.next())
        }
        return verdicts
    }

    private fun applySkipped(
        record: ConfigRecord,
        firstKeptOffset: LogOffset
    ): List<ConfigVerdict> {
        val replica = trailingReplica ?: return emptyList()
        val verdicts = replica.apply(listOf(record), firstKeptOffset)
        if (replica.state.nextOffset >= state.nextOffset) trailingReplica = null
        return verdicts
    }

    private fun applyNext(record: ConfigRecord): ConfigVerdict {
        val verdict = when (val entry = record.entry) {
            is ConfigEntry.Publish -> applyChange(record, entry.baseRevision, entry.author) {
                publish(entry)
            }

            is ConfigEntry.SwitchPreset -> applyChange(record, entry.baseRevision, entry.author) {
                switchPreset(entry)
            }

            is ConfigEntry.Checkpoint -> {
                val isValid = isValidCheckpoint(record, entry)
                if (isValid) replayStart = ReplayStart.At(record.appendedAtMs)
                ConfigVerdict.Checkpoint(record.offset, isValid)
            }

            null -> ConfigVerdict.Invalid(record.offset, listOf("expected a readable record"))
        }
        if (replayStart == ReplayStart.NothingToReplay) {
            replayStart = ReplayStart.At(record.appendedAtMs)
        }
        state = state.copy(nextOffset = record.offset.next())
        return verdict
    }

    private fun restoreFrom(record: ConfigRecord): ConfigVerdict? {
        val checkpoint = record.entry as? ConfigEntry.Checkpoint
        if (checkpoint == null || !isValidCheckpoint(record, checkpoint)) return null
        state = ConfigState(record.offset.next(), checkpoint.configuration)
        replayStart = ReplayStart.At(record.appendedAtMs)
        return ConfigVerdict.Checkpoint(record.offset, isValid = true)
    }

    private fun isValidCheckpoint(record: ConfigRecord, checkpoint: ConfigEntry.Checkpoint) =
        checkpoint.throughOffset == record.offset

    private fun applyChange(
        record: ConfigRecord,
        baseRevision: Revision,
        author: String,
        computeChange: () -> ChangeResult
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
        val change = computeChange()
        if (change.faults.isNotEmpty()) return ConfigVerdict.Invalid(record.offset, change.faults)
        state = state.copy(configuration = change.configuration)
        authors.add(change.configuration.revision, author)
        return ConfigVerdict.Accepted(record.offset, change.configuration.revision, author)
    }

    private fun publish(entry: ConfigEntry.Publish): ChangeResult =
        applyChanges(state.configuration, entry)

    private fun switchPreset(entry: ConfigEntry.SwitchPreset): ChangeResult {
        val current = state.configuration
        val next = current.withPreset(entry.preset)
        return if (DeclarationKey.Preset(entry.preset) in current.declarations) {
            ChangeResult(next, emptyList())
        } else {
            ChangeResult(
                next,
                listOf("expected a declared preset, found none named ${entry.preset}")
            )
        }
    }

    override fun adopt(peerState: ConfigState): Boolean {
        if (peerState.nextOffset <= state.nextOffset) return false
        trailingReplica = trailingReplica ?: ReplayingConfigReplica(state, authors)
        state = peerState
        readFrom = maxOf(readFrom, peerState.nextOffset)
        replayStart = ReplayStart.Unknown
        return true
    }

    override fun checkpointIfDue(logNowMs: Long, retentionMs: Long): ConfigEntry.Checkpoint? {
        val isDue = when (val start = replayStart) {
            ReplayStart.NothingToReplay -> false
            ReplayStart.Unknown -> true
            is ReplayStart.At -> logNowMs - start.appendedAtMs > retentionMs / RETENTION_DIVISOR
        }
        return if (isDue) ConfigEntry.Checkpoint(state.nextOffset, state.configuration) else null
    }

    private companion object {
        const val RETENTION_DIVISOR = 3
    }
}

/** What is known of the oldest record that a replay to the current state needs. */
private sealed interface ReplayStart {
    /** No record was applied. */
    data object NothingToReplay : ReplayStart

    /**
     * The state came from a peer, so the age of the records is not known. A checkpoint is due at
     * once: if every host had started like this, none would otherwise be written in time.
     */
    data object Unknown : ReplayStart

    /** The record was appended at [appendedAtMs] by the clock of the log. */
    data class At(val appendedAtMs: Long) : ReplayStart
}

/** Authors of the latest revisions, from which a conflict gets its winner. */
private class AuthorHistory {
    private val authors = LinkedHashMap<Revision, String>()

    fun add(revision: Revision, author: String) {
        authors[revision] = author
        if (authors.size > MAX_REVISIONS) authors.remove(authors.keys.first())
    }

    fun find(revision: Revision): String = authors[revision] ?: UNKNOWN_AUTHOR

    private companion object {
        /** About the changes of one day at the planned size of the system. */
        const val MAX_REVISIONS = 1_100
    }
}
