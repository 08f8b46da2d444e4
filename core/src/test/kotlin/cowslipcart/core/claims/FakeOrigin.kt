package cowslipcart.core.claims

import cowslipcart.core.model.AttemptId
import cowslipcart.core.model.Fingerprint

/** Origin of attempts: claims a key, then dispatches if it won, or else gives up and releases. */
internal class FakeOrigin(
    private val simulation: Simulation,
    private val process: SimulatedProcess,
    private val self: ProcessId,
    private val checker: DispatchChecker,
    private val send: (ClaimItem) -> Unit
) {
    private enum class State { CLAIMING, DISPATCHED, ENDED }

    private class Attempt(val claim: ClaimItem.Claim, var state: State)

    private val attempts = HashMap<AttemptId, Attempt>()

    fun request(key: RequestKey, fingerprint: Fingerprint) {
        val id = AttemptId("${self.host}.${self.incarnation}.${attempts.size}")
        val attempt = Attempt(ClaimItem.Claim(key, id, fingerprint, self), State.CLAIMING)
        attempts[id] = attempt
        checker.onClaimed(attempt.claim)
        sendUntilAnswered(attempt)
        simulation.after(2_000) { process.run { giveUp(attempt, reportNotRun = true) } }
    }

    fun onVerdict(id: AttemptId, verdict: ClaimVerdict) {
        val attempt = attempts[id] ?: return
        when (verdict) {
            ClaimVerdict.Won -> onWon(attempt)

            is ClaimVerdict.Undecided -> giveUp(attempt, reportNotRun = true)

            is ClaimVerdict.Held, ClaimVerdict.ContentMismatch, ClaimVerdict.Expired,
            ClaimVerdict.FromFuture -> giveUp(attempt, reportNotRun = false)
        }
    }

    private fun sendUntilAnswered(attempt: Attempt) {
        if (attempt.state != State.CLAIMING) return
        send(attempt.claim)
        simulation.after(500) { process.run { sendUntilAnswered(attempt) } }
    }

    private fun onWon(attempt: Attempt) {
        val claim = attempt.claim
        when (attempt.state) {
            State.DISPATCHED -> Unit

            State.ENDED -> send(ClaimItem.Release(claim.key, claim.attempt))

            State.CLAIMING -> {
                attempt.state = State.DISPATCHED
                // The process can be paused or killed between its decision and the dispatch.
                simulation.after(simulation.between(0, 3)) { process.run { dispatch(claim) } }
            }
        }
    }

    private fun dispatch(claim: ClaimItem.Claim) {
        val answer = RecordedAnswer(200, "text/plain", "answer of ${claim.attempt}")
        checker.onDispatched(claim.attempt, answer)
        simulation.after(simulation.between(10, 500)) {
            process.run { send(ClaimItem.Outcome(claim.key, claim.attempt, answer)) }
        }
    }

    private fun giveUp(attempt: Attempt, reportNotRun: Boolean) {
        if (attempt.state != State.CLAIMING) return
        attempt.state = State.ENDED
        checker.onEnded(attempt.claim.attempt, reportNotRun)
        if (reportNotRun) send(ClaimItem.Release(attempt.claim.key, attempt.claim.attempt))
    }
}
