package cowslipcart.core.node

import cowslipcart.core.claims.AttemptOrigin
import cowslipcart.core.claims.BatcherEffect
import cowslipcart.core.claims.ClaimBatcher
import cowslipcart.core.claims.ClaimItem
import cowslipcart.core.claims.EpochRecord
import cowslipcart.core.claims.KeyOwner
import cowslipcart.core.claims.createClaimBatcher
import cowslipcart.core.claims.createKeyEpochs
import cowslipcart.core.claims.createSoftClaims
import cowslipcart.core.claims.partitionOf
import cowslipcart.core.membership.MembershipView
import cowslipcart.core.membership.rendezvousOwner

/** Routes claims to batchers and key owners, and is both for the keys of this host. */
internal class ClaimDesk(
    private val self: AttemptOrigin,
    private val membership: MembershipView,
    private val outbox: Outbox
) {
    private val epochs = createKeyEpochs()
    private val softClaims = createSoftClaims(self)
    private val batchers = HashMap<Int, ClaimBatcher>()
    private var wallNowMs = 0L
    private var epochProposedAtMs = Long.MIN_VALUE / 2

    /**
     * Sends a claim to where it is decided.
     *
     * @return null if it was sent, else why nobody can decide it now
     */
    fun route(claim: ClaimItem.Claim, isDurable: Boolean): String? {
        if (isDurable) {
            val partition = partitionOf(claim.key, PARTITION_COUNT)
            outbox.send(batcherOf(partition), PeerMessage.ClaimRequest(partition, claim))
            return null
        }
        val owner = when (val owner = epochs.ownerOf(claim.key)) {
            is KeyOwner.Known -> owner.owner
            KeyOwner.NotYetCovered -> return "no key owner is known for the time of the key"
            KeyOwner.BeforeHistory -> return "the key is older than the records of key owners"
        }
        val live = membership.liveHosts[owner.host]
        if (live?.incarnation != owner.incarnation) return "the owner of the key is gone"
        outbox.send(owner.host, PeerMessage.ClaimRequest(null, claim))
        return null
    }

    /** Sends a release or an outcome to where its claim was decided. */
    fun routeItem(item: ClaimItem, isDurable: Boolean) {
        if (isDurable) {
            val partition = partitionOf(item.key, PARTITION_COUNT)
            outbox.send(batcherOf(partition), PeerMessage.ClaimNotice(partition, item))
            return
        }
        val owner = epochs.ownerOf(item.key)
        if (owner is KeyOwner.Known) {
            outbox.send(owner.owner.host, PeerMessage.ClaimNotice(null, item))
        }
    }

    /** Decides a claim, or queues it for the log. */
    fun onClaim(message: PeerMessage.ClaimRequest, nowMs: Long) {
        val claim = message.claim
        if (message.partition != null) {
            apply(batcher(message.partition).claim(claim, claim.origin.host, nowMs))
            return
        }
        val verdict = softClaims.claim(claim, epochs, wallNowMs)
        outbox.send(claim.origin.host, PeerMessage.ClaimReply(claim.attempt, verdict))
    }

    fun onNotice(message: PeerMessage.ClaimNotice, nowMs: Long) {
        val item = message.item
        if (message.partition != null) {
            apply(batcher(message.partition).record(item, nowMs))
        } else if (item is ClaimItem.Release) {
            softClaims.release(item.key, item.attempt)
        }
    }

    fun onClaimsInput(input: NodeInput.Claims, nowMs: Long) {
        val effects = when (input) {
            is NodeInput.ClaimsRead -> batcher(input.partition)
                .onRecords(input.records, input.firstKeptOffset, input.endOffset, nowMs)

            is NodeInput.ClaimsReadFailed ->
                batcher(input.partition).onReadFailed(input.error, nowMs)

            is NodeInput.ClaimsAppended ->
                batcher(input.partition).onAppended(input.batch, input.offset, nowMs)

            is NodeInput.ClaimsAppendFailed ->
                batcher(input.partition).onAppendFailed(input.batch, input.error, nowMs)
        }
        apply(effects)
    }

    fun onEpochs(records: List<EpochRecord>) = records.forEach { epochs.apply(it) }

    fun tick(wallNowMs: Long, nowMs: Long) {
        this.wallNowMs = wallNowMs
        for (batcher in batchers.values) apply(batcher.tick(nowMs))
        proposeEpoch(nowMs)
    }

    private fun proposeEpoch(nowMs: Long) {
        if (rendezvousOwner("epochs", membership.owners) != self.host) return
        if (nowMs - epochProposedAtMs < EPOCH_PROPOSAL_INTERVAL_MS) return
        val live = membership.owners
            .mapNotNull { membership.liveHosts[it] }
            .map { AttemptOrigin(it.host, it.incarnation) }
            .sortedBy { it.host }
        val entry = epochs.proposeEntry(live, wallNowMs) ?: return
        epochProposedAtMs = nowMs
        outbox.emit(NodeEffect.AppendEpoch(entry))
    }

    private fun apply(effects: List<BatcherEffect>) {
        for (effect in effects) {
            when (effect) {
                is BatcherEffect.Append -> outbox.emit(
                    NodeEffect.AppendClaims(effect.partition, effect.batch, effect.items)
                )

                is BatcherEffect.Read ->
                    outbox.emit(NodeEffect.ReadClaims(effect.partition, effect.from))

                is BatcherEffect.Reply -> outbox.send(
                    effect.to,
                    PeerMessage.ClaimReply(effect.attempt, effect.verdict)
                )
            }
        }
    }

    private fun batcher(partition: Int): ClaimBatcher =
        batchers.getOrPut(partition) { createClaimBatcher(partition) }

    private fun batcherOf(partition: Int) =
        rendezvousOwner("claims/$partition", membership.owners) ?: self.host

    companion object {
        /** Streams that share the claims; 8 streams of 40 appends a second fit the log's rate. */
        const val PARTITION_COUNT = 8

        /** Leaves time to read an appended epoch back before the next one is proposed. */
        const val EPOCH_PROPOSAL_INTERVAL_MS = 2_000L
    }
}
