package cowslipcart.core.claims

import cowslipcart.core.model.AttemptId
import cowslipcart.core.model.Fingerprint

/**
 * State of one key: its holder and the result of each attempt. The first copy of a claim fixes the
 * result of its attempt: an attempt that lost does not get the key when the holder releases it,
 * because its origin may already know that it lost.
 */
internal class KeyClaims {
    private val states = HashMap<AttemptId, AttemptState>()
    private var fingerprint: Fingerprint? = null
    private var holder: ClaimItem.Claim? = null
    private var answer: RecordedAnswer? = null

    /** Decides [claim] unless the attempt is known, and returns its verdict. */
    fun claim(claim: ClaimItem.Claim): ClaimVerdict {
        val state = states.getOrPut(claim.attempt) { decide(claim) }
        if (fingerprint == null) fingerprint = claim.fingerprint
        return toVerdict(claim.attempt, state)
    }

    /** Returns the verdict of [attempt], or null if it is not known. */
    fun verdictOf(attempt: AttemptId): ClaimVerdict? =
        states[attempt]?.let { toVerdict(attempt, it) }

    /**
     * Releases [attempt] for good, even if its claim has not been seen yet. A holder with a
     * recorded answer ran and keeps the key.
     */
    fun release(attempt: AttemptId) {
        val isHolder = holder?.attempt == attempt
        if (isHolder && answer != null) return
        if (isHolder) holder = null
        states[attempt] = AttemptState.Released
    }

    /** Keeps the first answer of the holder and ignores other attempts, as they did not run. */
    fun recordOutcome(attempt: AttemptId, recorded: RecordedAnswer) {
        if (holder?.attempt == attempt && answer == null) answer = recorded
    }

    private fun decide(claim: ClaimItem.Claim): AttemptState {
        val current = holder
        return when {
            fingerprint != null && fingerprint != claim.fingerprint -> AttemptState.ContentMismatch
            current != null -> AttemptState.LostTo(current)
            else -> AttemptState.Holding.also { holder = claim }
        }
    }

    private fun toVerdict(attempt: AttemptId, state: AttemptState): ClaimVerdict = when (state) {
        AttemptState.Holding -> ClaimVerdict.Won

        AttemptState.ContentMismatch -> ClaimVerdict.ContentMismatch

        AttemptState.Released -> ClaimVerdict.Undecided(
            "expected an attempt that can be claimed, found $attempt released"
        )

        is AttemptState.LostTo -> ClaimVerdict.Held(
            state.winner.attempt,
            state.winner.origin,
            answer.takeIf { holder == state.winner }
        )
    }
}

private sealed interface AttemptState {
    data object Holding : AttemptState

    data class LostTo(val winner: ClaimItem.Claim) : AttemptState

    data object ContentMismatch : AttemptState

    data object Released : AttemptState
}
