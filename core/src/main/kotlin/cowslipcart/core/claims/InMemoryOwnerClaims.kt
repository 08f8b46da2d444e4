package cowslipcart.core.claims

import cowslipcart.core.model.AttemptId
import java.util.PriorityQueue

/** Creates the empty set of claims that the process [self] decides as key owner. */
public fun createOwnerClaims(self: ProcessId): OwnerClaims = InMemoryOwnerClaims(self)

private class InMemoryOwnerClaims(private val self: ProcessId) : OwnerClaims {
    private val claimsByKey = HashMap<RequestKey, KeyClaims>()
    private val keysByTime = PriorityQueue<RequestKey>(compareBy { it.keyTimeMs })

    /** Highest dropped key time. Such keys stay expired even if the wall clock steps back. */
    private var droppedThroughMs = Long.MIN_VALUE

    override val size: Int get() = claimsByKey.size

    override fun claim(claim: ClaimItem.Claim, epochs: KeyEpochs, wallNowMs: Long): ClaimVerdict {
        dropOldKeys(wallNowMs)
        val keyTimeMs = claim.key.keyTimeMs
        return when (val owner = epochs.ownerOf(claim.key)) {
            KeyOwner.NotYetCovered -> undecided("a key time that an epoch covers, found $keyTimeMs")

            KeyOwner.BeforeHistory -> ClaimVerdict.Expired

            is KeyOwner.Known -> when {
                owner.owner != self -> undecided("key owner $self, found ${owner.owner}")
                isExpired(keyTimeMs, wallNowMs) -> ClaimVerdict.Expired
                keyTimeMs > wallNowMs + MAX_KEY_AHEAD_MS -> ClaimVerdict.FromFuture
                else -> entryOf(claim.key).claim(claim)
            }
        }
    }

    override fun release(key: RequestKey, attempt: AttemptId) {
        // Recorded even before the claim: the two messages can arrive in either order.
        if (key.keyTimeMs > droppedThroughMs) entryOf(key).release(attempt)
    }

    private fun isExpired(keyTimeMs: Long, wallNowMs: Long): Boolean =
        keyTimeMs < wallNowMs - MAX_KEY_AGE_MS || keyTimeMs <= droppedThroughMs

    private fun undecided(expectedAndFound: String): ClaimVerdict =
        ClaimVerdict.Undecided("expected $expectedAndFound")

    private fun entryOf(key: RequestKey): KeyClaims = claimsByKey.getOrPut(key) {
        keysByTime.add(key)
        KeyClaims()
    }

    private fun dropOldKeys(wallNowMs: Long) {
        while (true) {
            val oldest = keysByTime.peek() ?: return
            if (oldest.keyTimeMs >= wallNowMs - MAX_KEY_AGE_MS) return
            claimsByKey.remove(keysByTime.remove())
            droppedThroughMs = maxOf(droppedThroughMs, oldest.keyTimeMs)
        }
    }
}
