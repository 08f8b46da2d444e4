package cowslipcart.systemtest.soak

import cowslipcart.standins.platform.RunnerServer

/**
 * Compares what callers got with what ran. The bounds are those of the platform's rules; a gateway
 * is bound in time only if it was undisturbed for [TOUCH_MS] before.
 */
internal class SoakChecks(private val log: SoakLog, private val runs: List<SoakRun>) {
    private val runsById = runs.groupBy { it.id }

    /** Returns a line for each breach of a promise. */
    fun findBreaches(): List<String> = log.requests.toList().flatMap { check(it) } + checkRecovery()

    private fun check(request: SoakRequest): List<String> {
        val ran = runsById[request.id].orEmpty()
        return listOfNotNull(
            checkOnce(request, ran),
            checkRefusal(request, ran),
            checkAnswer(request),
            checkKey(request, ran),
            checkDrain(request, ran),
            checkStop(request)
        ).map { "${request.kind} ${request.id} at ${request.gateway} ${request.sentAtMs}: $it" }
    }

    private fun checkOnce(request: SoakRequest, ran: List<SoakRun>): String? = when (request.kind) {
        SoakKind.ORDER -> "ran ${ran.size} times".takeIf { ran.size > 1 }
        SoakKind.READ, SoakKind.CHAT -> "ran ${ran.size} times".takeIf { ran.size > MAX_ATTEMPTS }
    }

    private fun checkRefusal(request: SoakRequest, ran: List<SoakRun>): String? {
        val status = (request.outcome as? CallerOutcome.Whole)?.status
        val isBroken = request.kind != SoakKind.READ && status in PROMISES && ran.isNotEmpty()
        return "refused with $status, but ran".takeIf { isBroken }
    }

    private fun checkAnswer(request: SoakRequest): String? {
        val answer = request.outcome as? CallerOutcome.Whole ?: return null
        if (answer.status in WRONG_STATUSES && !request.usesRemovedKey) {
            return "proper request got ${answer.status}"
        }
        if (answer.status != OK) return null
        val runner = answer.seal?.removePrefix("seal-")?.removeSuffix("-${request.id}")
        val expected = when (request.kind) {
            SoakKind.CHAT -> (1..RunnerServer.EVENT_COUNT).joinToString("") {
                "id: $it\ndata: $it of ${request.id}\n\n"
            }

            SoakKind.ORDER, SoakKind.READ -> "answer of $runner to ${request.id}"
        }
        return "expected '$expected', found '${answer.body}'".takeIf { answer.body != expected }
    }

    private fun checkKey(request: SoakRequest, ran: List<SoakRun>): String? {
        if (!request.usesRemovedKey) return null
        val status = (request.outcome as? CallerOutcome.Whole)?.status
        val removedAtMs = log.keyRemovedAtMs
        if (removedAtMs == null || request.endedAtMs < removedAtMs) {
            return "401 for a valid key".takeIf { status == UNAUTHORIZED }
        }
        val isLate = request.sentAtMs > removedAtMs + IN_FORCE_MS && isInTouch(request)
        return "ran with a removed key".takeIf { isLate && ran.isNotEmpty() }
    }

    private fun checkDrain(request: SoakRequest, ran: List<SoakRun>): String? {
        val late = ran.firstOrNull {
            val drainedAtMs = log.drainedAtMs[it.runner]
            drainedAtMs != null && it.startedAtMs > drainedAtMs + DRAIN_MS
        } ?: return null
        val isBound = isInTouch(request)
        return "reached ${late.runner} at ${late.startedAtMs} after it drained".takeIf { isBound }
    }

    /** A stop in good order cuts no request that was read. */
    private fun checkStop(request: SoakRequest): String? {
        val broken = request.outcome as? CallerOutcome.Broken ?: return null
        val tookMs = request.endedAtMs - request.sentAtMs
        val isCut = broken.hasBegun || (broken.wasSent && tookMs > LOSS_SLACK_MS)
        val isPlanned = isInTouch(request) && !isDisturbed("runners", request)
        return "cut without a whole answer after $tookMs ms".takeIf { isCut && isPlanned }
    }

    private fun checkRecovery(): List<String> {
        val fromMs = log.lastFaultEndMs + RECOVERY_MS
        val late = log.requests.toList().filter { it.sentAtMs > fromMs && !it.usesRemovedKey }
        val served = late.count { (it.outcome as? CallerOutcome.Whole)?.status == OK }
        val isBad = late.isEmpty() || served < late.size * LEAST_SERVED
        return if (isBad) listOf("served $served of ${late.size} after the faults") else emptyList()
    }

    private fun isInTouch(request: SoakRequest): Boolean =
        !isDisturbed(request.gateway, request) && !isDisturbed("store", request)

    private fun isDisturbed(subject: String, request: SoakRequest): Boolean =
        log.isDisturbed(subject, request.sentAtMs - TOUCH_MS, request.endedAtMs)

    companion object {
        private const val OK = 200
        private const val UNAUTHORIZED = 401
        private val PROMISES = setOf(408, 421, 429, 503)
        private val WRONG_STATUSES = setOf(400, 401, 403, 404, 413, 431)

        /** As in the configuration of the soak. */
        private const val MAX_ATTEMPTS = 2

        /** Bounds of the platform, in ms. */
        const val TOUCH_MS = 3_000L
        private const val IN_FORCE_MS = 2_000L
        private const val DRAIN_MS = 2_000L
        private const val LOSS_SLACK_MS = 200L

        /** Time after the last fault from which requests have to be served again. */
        const val RECOVERY_MS = 3_000L

        /** Part of the requests that has to be served then. */
        private const val LEAST_SERVED = 0.9
    }
}
