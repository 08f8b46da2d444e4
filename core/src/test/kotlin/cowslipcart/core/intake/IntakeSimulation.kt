package cowslipcart.core.intake

import kotlin.test.assertTrue

/**
 * A caller in virtual time.
 *
 * @property bodyBytes size of the body
 * @property bytesPerMs rate at which the caller sends
 * @property sentBytes what the caller sends before it stops
 * @property serveMs time from the end of the body to the end of the answer
 */
internal class SimulatedCaller(
    val client: String,
    val bodyBytes: Int,
    val bytesPerMs: Int,
    val sentBytes: Int = bodyBytes,
    val startMs: Long = 0,
    val serveMs: Long = 50
) {
    var id: HoldId? = null
    var receivedBytes = 0
    var capacityBytes = 0
    var isWaiting = false
    var completeAtMs: Long? = null
    var refusal: RefusedIntake? = null
    var endedAtMs: Long? = null

    val isServed: Boolean get() = endedAtMs != null && completeAtMs != null

    override fun toString() = "$client sends $sentBytes of $bodyBytes bytes: received " +
        "$receivedBytes, refused $refusal, complete at $completeAtMs, ended at $endedAtMs"
}

/** Plays [callers] against a budget as a host does, in steps of [STEP_MS]. */
internal class IntakeSimulation(
    private val limits: IntakeLimits,
    private val callers: List<SimulatedCaller>
) {
    private val budget = IntakeBudget(limits)

    /** Runs until [endMs] and checks the bound on the bytes that are held after each step. */
    fun run(endMs: Long): IntakeSimulation {
        var nowMs = 0L
        while (nowMs <= endMs) {
            for (caller in callers) {
                step(caller, nowMs)
                assertTrue(budget.heldBytes in 0..limits.requestBytes, "held ${budget.heldBytes}")
            }
            if (nowMs % RECHECK_MS == 0L) apply(budget.recheck(nowMs))
            nowMs += STEP_MS
        }
        return this
    }

    val heldBytes: Long get() = budget.heldBytes
    val requestCount: Int get() = budget.requestCount

    private fun step(caller: SimulatedCaller, nowMs: Long) {
        if (caller.endedAtMs != null || nowMs < caller.startMs) return
        val id = caller.id ?: budget.open(ClientAddress(caller.client), nowMs)
            .also { caller.id = it }
        val completeAtMs = caller.completeAtMs
        when {
            caller.refusal != null || nowMs - caller.startMs > BODY_TIMEOUT_MS ->
                end(caller, id, nowMs)

            completeAtMs != null -> if (nowMs - completeAtMs >=
                caller.serveMs
            ) {
                end(caller, id, nowMs)
            }

            caller.isWaiting -> Unit

            caller.receivedBytes == caller.bodyBytes -> {
                if (budget.complete(id)) caller.completeAtMs = nowMs
            }

            caller.receivedBytes == caller.capacityBytes -> ask(caller, id, nowMs)

            else -> receive(caller, id, nowMs)
        }
    }

    private fun end(caller: SimulatedCaller, id: HoldId, nowMs: Long) {
        caller.endedAtMs = nowMs
        apply(budget.release(id, nowMs))
    }

    private fun ask(caller: SimulatedCaller, id: HoldId, nowMs: Long) {
        caller.isWaiting = true
        apply(budget.request(id, pieceBytes(caller).toLong(), nowMs))
    }

    private fun receive(caller: SimulatedCaller, id: HoldId, nowMs: Long) {
        val count = minOf(
            caller.capacityBytes - caller.receivedBytes,
            caller.bytesPerMs * STEP_MS.toInt(),
            caller.sentBytes - caller.receivedBytes
        )
        caller.receivedBytes += count
        if (count > 0) budget.received(id, count, nowMs)
    }

    private fun pieceBytes(caller: SimulatedCaller): Int =
        minOf(PIECE_BYTES, caller.bodyBytes - caller.capacityBytes)

    private fun apply(decisions: List<IntakeDecision>) {
        for (decision in decisions) {
            val caller = callers.first { it.id == decision.id }
            caller.isWaiting = false
            when (decision) {
                is IntakeDecision.Granted -> caller.capacityBytes += pieceBytes(caller)
                is IntakeDecision.Refused -> caller.refusal = decision.reason
            }
        }
    }

    companion object {
        const val STEP_MS = 10L
        const val RECHECK_MS = 100L
        const val BODY_TIMEOUT_MS = 30_000L
        const val PIECE_BYTES = 65_536
    }
}
