package cowslipcart.core.claims

import cowslipcart.core.log.LogError
import cowslipcart.core.model.AttemptId
import cowslipcart.core.model.HostId
import cowslipcart.core.model.LogOffset

/** Creates the batcher of [partition]. Its first claim starts a read of the stream at offset 0. */
public fun createClaimBatcher(
    partition: Int,
    settings: BatcherSettings = BatcherSettings()
): ClaimBatcher = LogClaimBatcher(partition, settings)

private class LogClaimBatcher(private val partition: Int, private val settings: BatcherSettings) :
    ClaimBatcher {
    private val replica = createClaimReplica()
    private val queue = BatchQueue(settings)
    private val readScheduler = ReadScheduler(settings)
    private val pending = LinkedHashMap<AttemptId, PendingClaim>()
    private var unavailableCount = 0

    private val isLogDown: Boolean get() = unavailableCount >= settings.outageThreshold

    override fun claim(claim: ClaimItem.Claim, replyTo: HostId, nowMs: Long): List<BatcherEffect> {
        val known = replica.verdictOf(claim.key, claim.attempt)
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
                if (!readScheduler.hasCaughtUp) readScheduler.requestCatchUp()
                advance(nowMs)
            }
        }
    }

    override fun enqueue(item: ClaimItem, nowMs: Long): List<BatcherEffect> {
        // A released claim that is still queued must not reach the log after its release.
        if (item is ClaimItem.Release) {
            pending.remove(item.attempt)?.let { queue.remove(it.claim) }
        }
        queue.add(item, nowMs)
        return advance(nowMs)
    }

    override fun onAppended(batchId: Long, offset: LogOffset, nowMs: Long): List<BatcherEffect> {
        unavailableCount = 0
        queue.onAppended(batchId)
        readScheduler.requestThrough(offset)
        return advance(nowMs)
    }

    override fun onAppendFailed(batchId: Long, error: LogError, nowMs: Long): List<BatcherEffect> {
        queue.onFailed(batchId, nowMs)
        when (error) {
            is LogError.Unavailable -> onLogUnavailable()

            // The append may have taken effect; items found in the log are not appended again.
            is LogError.Unknown -> readScheduler.requestCatchUp()
        }
        return advance(nowMs)
    }

    override fun onRecords(
        records: List<ClaimRecord>,
        firstKeptOffset: LogOffset,
        endOffset: LogOffset,
        nowMs: Long
    ): List<BatcherEffect> {
        unavailableCount = 0
        val before = replica.nextOffset
        replica.skipTo(firstKeptOffset)
        val replies = records.flatMap { applyRecord(it) }
        readScheduler.onRead(before, replica.nextOffset, endOffset, nowMs)
        return replies + advance(nowMs)
    }

    override fun onReadFailed(error: LogError, nowMs: Long): List<BatcherEffect> {
        readScheduler.onFailed(nowMs)
        when (error) {
            is LogError.Unavailable -> onLogUnavailable()
            is LogError.Unknown -> Unit
        }
        return advance(nowMs)
    }

    override fun tick(nowMs: Long): List<BatcherEffect> = advance(nowMs)

    /** While the log counts as down, reads probe it, so that claims are taken once it is back. */
    private fun onLogUnavailable() {
        unavailableCount++
        if (isLogDown) readScheduler.requestCatchUp()
    }

    private fun applyRecord(record: ClaimRecord): List<BatcherEffect> {
        // A page that does not continue the replay is ignored and read again.
        if (record.offset != replica.nextOffset) return emptyList()
        val verdicts = replica.apply(record)
        record.items.forEach { queue.remove(it) }
        return verdicts.flatMap { (attempt, verdict) ->
            pending.remove(attempt)?.let { replyAll(it, verdict) }.orEmpty()
        }
    }

    private fun advance(nowMs: Long): List<BatcherEffect> = buildList {
        addAll(failClaims(nowMs))
        queue.startBatch(nowMs)?.let {
            add(BatcherEffect.Append(partition, it.batchId, it.items.toList()))
        }
        if (readScheduler.startRead(replica.nextOffset, nowMs)) {
            add(BatcherEffect.Read(partition, replica.nextOffset))
        }
    }

    /** Answers claims as undecided that timed out, or all of them if the log is down. */
    private fun failClaims(nowMs: Long): List<BatcherEffect> {
        val failed = pending.values.takeWhile {
            isLogDown || nowMs >= it.receivedAtMs + settings.claimTimeoutMs
        }
        return failed.flatMap {
            pending.remove(it.claim.attempt)
            queue.remove(it.claim)
            replyAll(
                it,
                if (isLogDown) logDown() else timedOut(nowMs - it.receivedAtMs)
            )
        }
    }

    private fun logDown(): ClaimVerdict = ClaimVerdict.Undecided(
        "expected the log to be available, found $unavailableCount calls in a row that failed"
    )

    private fun timedOut(ageMs: Long): ClaimVerdict = ClaimVerdict.Undecided(
        "expected a verdict within ${settings.claimTimeoutMs} ms, found none after $ageMs ms"
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
