package cowslipcart.core.claims

import cowslipcart.core.model.AttemptId
import cowslipcart.core.model.LogOffset
import java.util.PriorityQueue

/**
 * Replay of one stream `claims-P`. The verdict of an attempt is a function of the log up to the
 * first valid copy of its claim, so that all readers that can decide it agree.
 */
public interface ClaimStream {
    /** Offset of the first record that is not applied. */
    public val nextOffset: LogOffset

    /** Number of keys held. */
    public val size: Int

    /**
     * Applies a record and returns the verdicts of the claims in it. A record below [nextOffset]
     * changes nothing. A gap before the record forgets all earlier ones, like [skipTo].
     */
    public fun apply(record: ClaimRecord): List<AttemptVerdict>

    /** Forgets all records and continues at [firstKeptOffset]; retention has removed the others. */
    public fun skipTo(firstKeptOffset: LogOffset)

    /** Returns the verdict of [attempt], or null if no valid claim of it is held. */
    public fun verdictOf(key: RequestKey, attempt: AttemptId): ClaimVerdict?
}

/** Verdict of one attempt. */
public data class AttemptVerdict(public val attempt: AttemptId, public val verdict: ClaimVerdict)

/** Creates a replay that expects the record at offset 0 first. */
public fun createClaimStream(): ClaimStream = ReplayedClaimStream()

/** Oldest key time that can be claimed, relative to the time of the record. */
internal const val MAX_KEY_AGE_MS: Long = 60 * 60_000L

/** Latest key time that can be claimed, relative to the time of the record. */
internal const val MAX_KEY_AHEAD_MS: Long = 5 * 60_000L

private class ReplayedClaimStream : ClaimStream {
    private val claimsByKey = HashMap<RequestKey, KeyClaims>()
    private val keysByTime = PriorityQueue<RequestKey>(compareBy { it.keyTimeMs })
    private var start: StreamStart = StreamStart.Complete

    override var nextOffset: LogOffset = LogOffset(0)
        private set

    override val size: Int get() = claimsByKey.size

    override fun apply(record: ClaimRecord): List<AttemptVerdict> {
        if (record.offset < nextOffset) return emptyList()
        if (record.offset > nextOffset) skipTo(record.offset)
        if (start == StreamStart.AwaitingFirstRecord) {
            start = StreamStart.After(record.appendedAtMs)
        }
        nextOffset = record.offset.next()
        dropOldKeys(record.appendedAtMs)
        return record.items.mapNotNull { applyItem(it, record.appendedAtMs) }
    }

    override fun skipTo(firstKeptOffset: LogOffset) {
        if (firstKeptOffset <= nextOffset) return
        claimsByKey.clear()
        keysByTime.clear()
        start = StreamStart.AwaitingFirstRecord
        nextOffset = firstKeptOffset
    }

    override fun verdictOf(key: RequestKey, attempt: AttemptId): ClaimVerdict? =
        claimsByKey[key]?.verdictOf(attempt)

    private fun applyItem(item: ClaimItem, appendedAtMs: Long): AttemptVerdict? {
        val refusal = refusalOf(item.key, appendedAtMs)
        return when (item) {
            is ClaimItem.Claim -> AttemptVerdict(
                item.attempt,
                refusal ?: entryOf(item.key).claim(item)
            )

            is ClaimItem.Release -> {
                if (refusal == null) entryOf(item.key).release(item.attempt)
                null
            }

            is ClaimItem.Outcome -> {
                claimsByKey[item.key]?.recordOutcome(item.attempt, item.answer)
                null
            }
        }
    }

    private fun refusalOf(key: RequestKey, appendedAtMs: Long): ClaimVerdict? = when {
        key.keyTimeMs < appendedAtMs - MAX_KEY_AGE_MS -> ClaimVerdict.Expired
        key.keyTimeMs > appendedAtMs + MAX_KEY_AHEAD_MS -> ClaimVerdict.FromFuture
        !coversAllClaimsOf(key) -> ClaimVerdict.Expired
        else -> null
    }

    /**
     * A valid claim of [key] lies at `keyTimeMs - 5 min` or later. A removed record can have the
     * same time as the first kept one, so the comparison is strict.
     */
    private fun coversAllClaimsOf(key: RequestKey): Boolean = when (val from = start) {
        StreamStart.Complete -> true
        StreamStart.AwaitingFirstRecord -> false
        is StreamStart.After -> key.keyTimeMs - MAX_KEY_AHEAD_MS > from.removedUntilMs
    }

    private fun entryOf(key: RequestKey): KeyClaims = claimsByKey.getOrPut(key) {
        keysByTime.add(key)
        KeyClaims()
    }

    /** No later record can hold a valid claim of a dropped key. */
    private fun dropOldKeys(logTimeMs: Long) {
        while (true) {
            val oldest = keysByTime.peek() ?: return
            if (oldest.keyTimeMs >= logTimeMs - MAX_KEY_AGE_MS) return
            claimsByKey.remove(keysByTime.remove())
        }
    }
}

/** What is known about the records before the first one applied. */
private sealed interface StreamStart {
    /** There are none: the replay began at offset 0. */
    data object Complete : StreamStart

    /** Records are missing and the first kept one is not read yet. */
    data object AwaitingFirstRecord : StreamStart

    /** Records with times up to and including [removedUntilMs] are missing. */
    data class After(val removedUntilMs: Long) : StreamStart
}
