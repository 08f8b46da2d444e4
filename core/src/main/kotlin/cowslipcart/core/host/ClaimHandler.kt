package cowslipcart.core.host

import cowslipcart.core.claims.BatcherEffect
import cowslipcart.core.claims.ClaimBatcher
import cowslipcart.core.claims.ClaimItem
import cowslipcart.core.claims.EpochRecord
import cowslipcart.core.claims.KeyOwner
import cowslipcart.core.claims.ProcessId
import cowslipcart.core.claims.createClaimBatcher
import cowslipcart.core.claims.createKeyEpochs
import cowslipcart.core.claims.createOwnerClaims
import cowslipcart.core.claims.partitionOf
import cowslipcart.core.membership.MembershipView
import cowslipcart.core.membership.rendezvousOwner

/**
 * Routes claims to the hosts that decide them, and decides those that reach this host. A durable
 * claim is decided by the batcher of its partition, which appends it to the log; any other claim is
 * decided in memory by the owner of its key.
 */
internal class ClaimHandler(
    private val self: ProcessId,
    private val membership: MembershipView,
    private val outbox: Outbox
) {
    private val epochs = createKeyEpochs()
    private val ownerClaims = createOwnerClaims(self)
    private val batchers = HashMap<Int, ClaimBatcher>()
    private var wallNowMs = 0L
    private var epochProposedAtMs = Long.MIN_VALUE / 2

    /**
     * Sends a claim to its batcher or key owner.
     *
     * @return null if it was sent, else why no host can decide it now
     */
    fun route(claim: ClaimItem.Claim, isDurable: Boolean): String? {
        if (isDurable) {
            val partition = partitionOf(claim.key, PARTITION_COUNT)
            outbox.send(batcherHostOf(partition), PeerMessage.ClaimRequest(partition, claim))
            return null
        }
        val owner = when (val owner = epochs.ownerOf(claim.key)) {
            is KeyOwner.Known -> owner.owner
            KeyOwner.NotYetCovered -> return "no key owner is known for the time of the key"
            KeyOwner.BeforeHistory -> return "the key is older than the records of key owners"
        }
        val liveHost = membership.liveHosts[owner.host]
        if (liveHost?.incarnation != owner.incarnation) return "the owner of the key is gone"
        outbox.send(owner.host, PeerMessage.ClaimRequest(null, claim))
        return null
    }

    /** Sends a release or an outcome to the batcher or key owner that decided its claim. */
    fun routeItem(item: ClaimItem, isDurable: Boolean) {
        if (isDurable) {
            val partition = partitionOf(item.key, PARTITION_COUNT)
            outbox.send(batcherHostOf(partition), PeerMessage.ClaimNotice(partition, item))
            return
        }
        val owner = epochs.ownerOf(item.key)
        if (owner is KeyOwner.Known) {
            outbox.send(owner.owner.host, PeerMessage.ClaimNotice(null, item))
        }
    }

    /** Decides a claim in memory, or queues a durable one for the next append to the log. */
    fun onClaim(message: PeerMessage.ClaimRequest, nowMs: Long) {
        val claim = message.claim
        if (message.partition != null) {
            performEffects(batcher(message.partition).claim(claim, claim.origin.host, nowMs))
            return
        }
        val verdict = ownerClaims.claim(claim, epochs, wallNowMs)
        outbox.send(claim.origin.host, PeerMessage.ClaimReply(claim.attempt, verdict))
    }

    /** Applies a release or an outcome of a claim that was decided here. */
    fun onNotice(message: PeerMessage.ClaimNotice, nowMs: Long) {
        val item = message.item
        if (message.partition != null) {
            performEffects(batcher(message.partition).enqueue(item, nowMs))
        } else if (item is ClaimItem.Release) {
            ownerClaims.release(item.key, item.attempt)
        }
    }

    /** Hands the result of a read or append to the batcher of its partition. */
    fun onClaimsInput(input: HostInput.Claims, nowMs: Long) {
        val effects = when (input) {
            is HostInput.ClaimsRead -> batcher(input.partition)
                .onRecords(input.records, input.firstKeptOffset, input.endOffset, nowMs)

            is HostInput.ClaimsReadFailed ->
                batcher(input.partition).onReadFailed(input.error, nowMs)

            is HostInput.ClaimsAppended ->
                batcher(input.partition).onAppended(input.batchId, input.offset, nowMs)

            is HostInput.ClaimsAppendFailed ->
                batcher(input.partition).onAppendFailed(input.batchId, input.error, nowMs)
        }
        performEffects(effects)
    }

    /**
     * Applies records of the stream `epochs`, which assign keys to owners by the time of the key.
     */
    fun onEpochs(records: List<EpochRecord>) = records.forEach { epochs.apply(it) }

    /** Lets the batchers append and retry, and proposes an epoch if one is needed. */
    fun tick(wallNowMs: Long, nowMs: Long) {
        this.wallNowMs = wallNowMs
        for (batcher in batchers.values) performEffects(batcher.tick(nowMs))
        proposeEpoch(nowMs)
    }

    /** Appends a new epoch when the live owners changed; one host does so for all. */
    private fun proposeEpoch(nowMs: Long) {
        if (rendezvousOwner("epochs", membership.ownerCandidates) != self.host) return
        if (nowMs - epochProposedAtMs < EPOCH_PROPOSAL_INTERVAL_MS) return
        val processes = membership.ownerCandidates
            .mapNotNull { membership.liveHosts[it] }
            .map { ProcessId(it.host, it.incarnation) }
            .sortedBy { it.host }
        val entry = epochs.proposeEntry(processes, wallNowMs) ?: return
        epochProposedAtMs = nowMs
        outbox.emit(HostEffect.AppendEpoch(entry))
    }

    private fun performEffects(effects: List<BatcherEffect>) {
        for (effect in effects) {
            when (effect) {
                is BatcherEffect.Append -> outbox.emit(
                    HostEffect.AppendClaims(effect.partition, effect.batchId, effect.items)
                )

                is BatcherEffect.Read ->
                    outbox.emit(HostEffect.ReadClaims(effect.partition, effect.from))

                is BatcherEffect.Reply -> outbox.send(
                    effect.to,
                    PeerMessage.ClaimReply(effect.attempt, effect.verdict)
                )
            }
        }
    }

    private fun batcher(partition: Int): ClaimBatcher =
        batchers.getOrPut(partition) { createClaimBatcher(partition) }

    /** Returns the host that decides the durable claims of [partition]. */
    private fun batcherHostOf(partition: Int) =
        rendezvousOwner("claims/$partition", membership.ownerCandidates) ?: self.host

    companion object {
        /** Log streams for durable claims; 8 streams of 40 appends a second fit the log's rate. */
        const val PARTITION_COUNT = 8

        /** Long enough to read an appended epoch back before the next one is proposed. */
        const val EPOCH_PROPOSAL_INTERVAL_MS = 2_000L
    }
}
