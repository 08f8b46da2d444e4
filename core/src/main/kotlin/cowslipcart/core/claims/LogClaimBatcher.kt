package cowslipcart.core.claims

import cowslipcart.core.log.LogError
import cowslipcart.core.model.AttemptId
import cowslipcart.core.model.HostId
import cowslipcart.core.model.LogOffset

/** Creates the batcher of [partition]. It reads the stream from offset 0 at its first claim. */
public fun createClaimBatcher(
    partition: Int,
    settings: BatcherSettings = BatcherSettings()
): ClaimBatcher = LogClaimBatcher(partition, settings)

private class LogClaimBatcher(private val partition: Int, private val settings: BatcherSettings) :
    ClaimBatcher {
    private val stream = createClaimStream()
    private val queue = BatchQueue(settings)
    private val reader = StreamReader(settings)
    private val pending = LinkedHashMap<AttemptId, PendingClaim>()
    private var refusalsInRow = 0

    private val isLogDown: Boolean get() = refusalsInRow >= settings.maxRefusals

    override fun claim(claim: ClaimItem.Claim, replyTo: HostId, nowMs: Long): List<BatcherEffect> {
        val known = stream.verdictOf(claim.key, claim.attempt)
        val waiting = pending[claim.attempt]
        return when {
            known != null -> listOf(reply(replyTo, claim.attempt, known))

            waiting != null -> {
                waiting.replyTo += replyTo
                advance(nowMs)
            }

            pending.size >= settings.maxPendingClaims -> {
                val detail = "expected at most ${settings.maxPendingClaims} claims without a " +
                    "verdict, found ${pending.size}"
                listOf(reply(replyTo, claim.attempt, ClaimVerdict.Undecided(detail)))
            }

            isLogDown -> listOf(reply(replyTo, claim.attempt, logDown()))

            else -> {
                pending[claim.attempt] = PendingClaim(claim, mutableSetOf(replyTo), nowMs)
                queue.add(claim, nowMs)
                if (!reader.hasCaughtUp) reader.requestCatchUp()
                advance(nowMs)
            }
        }
    }

    override fun record(item: ClaimItem, nowMs: Long): List<BatcherEffect> {
        // A released claim that is still queued must not reach the log after its release.
        if (item is ClaimItem.Release) {
            pending.remove(item.attempt)?.let { queue.remove(it.claim) }
        }
        queue.add(item, nowMs)
        return advance(nowMs)
    }

    override fun onAppended(batch: Long, offset: LogOffset, nowMs: Long): List<BatcherEffect> {
        refusalsInRow = 0
        queue.onAppended(batch)
        reader.requestThrough(offset)
        return advance(nowMs)
    }

    override fun onAppendFailed(batch: Long, error: LogError, nowMs: Long): List<BatcherEffect> {
        queue.onFailed(batch, nowMs)
        when (error) {
            is LogError.Unavailable -> onRefused()

            // The append may have taken effect; what is found in the log is not appended again.
            is LogError.Unknown -> reader.requestCatchUp()
        }
        return advance(nowMs)
    }

    override fun onRecords(
        records: List<ClaimRecord>,
        firstKeptOffset: LogOffset,
        endOffset: LogOffset,
        nowMs: Long
    ): List<BatcherEffect> {
        refusalsInRow = 0
        val before = stream.nextOffset
        stream.skipTo(firstKeptOffset)
        val replies = records.flatMap { applyRecord(it) }
        reader.onRead(before, stream.nextOffset, endOffset, nowMs)
        return replies + advance(nowMs)
    }

    override fun onReadFailed(error: LogError, nowMs: Long): List<BatcherEffect> {
        reader.onFailed(nowMs)
        when (error) {
            is LogError.Unavailable -> onRefused()
            is LogError.Unknown -> Unit
        }
        return advance(nowMs)
    }

    override fun tick(nowMs: Long): List<BatcherEffect> = advance(nowMs)

    /** While the log counts as down, reads probe it, so that the first claim after it is taken. */
    private fun onRefused() {
        refusalsInRow++
        if (isLogDown) reader.requestCatchUp()
    }

    private fun applyRecord(record: ClaimRecord): List<BatcherEffect> {
        // A page that does not continue the stream is ignored and read again.
        if (record.offset != stream.nextOffset) return emptyList()
        val verdicts = stream.apply(record)
        record.items.forEach { queue.remove(it) }
        return verdicts.flatMap { (attempt, verdict) ->
            pending.remove(attempt)?.let { replyAll(it, verdict) }.orEmpty()
        }
    }

    private fun advance(nowMs: Long): List<BatcherEffect> = buildList {
        addAll(giveUpClaims(nowMs))
        queue.startBatch(nowMs)?.let {
            add(BatcherEffect.Append(partition, it.batch, it.items.toList()))
        }
        if (reader.startRead(stream.nextOffset, nowMs)) {
            add(BatcherEffect.Read(partition, stream.nextOffset))
        }
    }

    private fun giveUpClaims(nowMs: Long): List<BatcherEffect> {
        val refused = pending.values.takeWhile {
            isLogDown || nowMs >= it.receivedAtMs + settings.giveUpAfterMs
        }
        return refused.flatMap {
            pending.remove(it.claim.attempt)
            queue.remove(it.claim)
            replyAll(it, if (isLogDown) logDown() else tooLate(nowMs - it.receivedAtMs))
        }
    }

    private fun logDown(): ClaimVerdict = ClaimVerdict.Undecided(
        "expected the log to take calls, found $refusalsInRow refused in a row"
    )

    private fun tooLate(ageMs: Long): ClaimVerdict = ClaimVerdict.Undecided(
        "expected a verdict within ${settings.giveUpAfterMs} ms, found none after $ageMs ms"
    )

    private fun replyAll(claim: PendingClaim, verdict: ClaimVerdict): List<BatcherEffect> =
        claim.replyTo.map { reply(it, claim.claim.attempt, verdict) }

    private fun reply(to: HostId, attempt: AttemptId, verdict: ClaimVerdict): BatcherEffect =
        BatcherEffect.Reply(partition, to, attempt, verdict)
}

private class PendingClaim(
    val claim: ClaimItem.Claim,
    val replyTo: MutableSet<HostId>,
    val receivedAtMs: Long
)
