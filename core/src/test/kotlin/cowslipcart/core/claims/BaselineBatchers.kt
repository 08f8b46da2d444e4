package cowslipcart.core.claims

import cowslipcart.core.log.LogError
import cowslipcart.core.model.HostId
import cowslipcart.core.model.LogOffset

/** Baseline: keeps claims in the memory of one host and never uses the log. */
internal open class MemoryBatcher : ClaimBatcher {
    private val claims = HashMap<RequestKey, KeyClaims>()

    override fun claim(claim: ClaimItem.Claim, replyTo: HostId, nowMs: Long): List<BatcherEffect> {
        val verdict = claims.getOrPut(claim.key) { KeyClaims() }.claim(claim)
        return listOf(BatcherEffect.Reply(0, replyTo, claim.attempt, verdict))
    }

    override fun enqueue(item: ClaimItem, nowMs: Long): List<BatcherEffect> {
        val entry = claims.getOrPut(item.key) { KeyClaims() }
        when (item) {
            is ClaimItem.Claim -> Unit
            is ClaimItem.Release -> entry.release(item.attempt)
            is ClaimItem.Outcome -> entry.recordOutcome(item.attempt, item.answer)
        }
        return emptyList()
    }

    override fun onAppended(batchId: Long, offset: LogOffset, nowMs: Long): List<BatcherEffect> =
        emptyList()

    override fun onAppendFailed(batchId: Long, error: LogError, nowMs: Long): List<BatcherEffect> =
        emptyList()

    override fun onRecords(
        records: List<ClaimRecord>,
        firstKeptOffset: LogOffset,
        endOffset: LogOffset,
        nowMs: Long
    ): List<BatcherEffect> = emptyList()

    override fun onReadFailed(error: LogError, nowMs: Long): List<BatcherEffect> = emptyList()

    override fun tick(nowMs: Long): List<BatcherEffect> = emptyList()
}

/** Baseline: one lease table for all hosts; a lease expires after 3 s unless its attempt ran. */
internal class LeaseTable {
    private class Lease(val claim: ClaimItem.Claim, val grantedAtMs: Long, var isUsed: Boolean)

    private val leases = HashMap<RequestKey, Lease>()

    inner class Batcher : MemoryBatcher() {
        override fun claim(
            claim: ClaimItem.Claim,
            replyTo: HostId,
            nowMs: Long
        ): List<BatcherEffect> {
            val lease = leases[claim.key]
                ?.takeIf { it.isUsed || nowMs < it.grantedAtMs + LEASE_MS }
                ?: Lease(claim, nowMs, isUsed = false).also { leases[claim.key] = it }
            val holder = lease.claim
            val verdict = when (holder.attempt) {
                claim.attempt -> ClaimVerdict.Won
                else -> ClaimVerdict.Held(holder.attempt, holder.origin, answer = null)
            }
            return listOf(BatcherEffect.Reply(0, replyTo, claim.attempt, verdict))
        }

        override fun enqueue(item: ClaimItem, nowMs: Long): List<BatcherEffect> {
            val lease = leases[item.key]?.takeIf { it.claim.attempt == item.attempt }
            when (item) {
                is ClaimItem.Claim -> Unit
                is ClaimItem.Release -> if (lease != null) leases.remove(item.key)
                is ClaimItem.Outcome -> lease?.isUsed = true
            }
            return emptyList()
        }
    }

    private companion object {
        const val LEASE_MS = 3_000L
    }
}
