package cowslipcart.systemtest.soak

import cowslipcart.standins.platform.RunEnd
import cowslipcart.standins.platform.RunnerServer

/**
 * Compares the outcomes that callers saw with the runs at the runners. The time bounds are
 * those of the platform; they hold for a request only if neither its gateway nor the store was
 * disturbed from [UNDISTURBED_MS] before it was sent until it ended.
 */
internal class SoakChecks(private val log: SoakLog, private val runs: List<SoakRun>) {
    private val runsById = runs.groupBy { it.id }

    /** Returns a line for each violated guarantee. */
    fun findViolations(): List<String> =
        log.requests.toList().flatMap { check(it) } + checkRecovery()

    private fun check(request: SoakRequest): List<String> {
        val ran = runsById[request.id].orEmpty()
        return listOfNotNull(
            checkRuns(request, ran),
            checkRefusal(request, ran),
            checkAnswer(request),
            checkKey(request, ran),
            checkDrain(request, ran),
            checkGracefulStop(request, ran),
            checkTime(request, ran),
            checkPassedOn(request, ran),
            checkDeparture(request, ran)
        ).map { "${request.kind} ${request.id} at ${request.gateway} ${request.sentAtMs}: $it" }
    }

    private fun checkRuns(request: SoakRequest, ran: List<SoakRun>): String? = when (request.kind) {
        RequestKind.ORDER -> "ran ${ran.size} times".takeIf { ran.size > 1 }

        RequestKind.READ, RequestKind.EXTRA, RequestKind.CHAT ->
            "ran ${ran.size} times".takeIf { ran.size > MAX_RUNS }
    }

    private fun checkRefusal(request: SoakRequest, ran: List<SoakRun>): String? {
        val status = (request.outcome as? CallerOutcome.Complete)?.status
        val isViolated =
            !request.kind.isIdempotent && status in NOT_RUN_STATUSES && ran.isNotEmpty()
        return "refused with $status, but ran".takeIf { isViolated }
    }

    private fun checkAnswer(request: SoakRequest): String? {
        val answer = request.outcome as? CallerOutcome.Complete ?: return null
        val isOnlyListedAtTimes = request.kind == RequestKind.EXTRA && answer.status == NOT_FOUND
        if (
            answer.status in REJECTION_STATUSES && !request.usesRemovedKey && !isOnlyListedAtTimes
        ) {
            return "proper request got ${answer.status}"
        }
        if (answer.status != OK) return null
        val runner = answer.seal?.removePrefix("seal-")?.removeSuffix("-${request.id}")
        val expected = when (request.kind) {
            RequestKind.CHAT -> (1..RunnerServer.EVENT_COUNT).joinToString("") {
                "id: $it\ndata: $it of ${request.id}\n\n"
            }

            RequestKind.ORDER, RequestKind.READ, RequestKind.EXTRA ->
                "answer of $runner to ${request.id}"
        }
        return "expected '$expected', found '${answer.body}'".takeIf { answer.body != expected }
    }

    private fun checkKey(request: SoakRequest, ran: List<SoakRun>): String? {
        if (!request.usesRemovedKey) return null
        val status = (request.outcome as? CallerOutcome.Complete)?.status
        val removedAtMs = log.keyRemovedAtMs
        if (removedAtMs == null || request.endedAtMs < removedAtMs) {
            return "401 for a valid key".takeIf { status == UNAUTHORIZED }
        }
        val isLate =
            request.sentAtMs > removedAtMs + CONFIG_PROPAGATION_MS && isUndisturbed(request)
        return "ran with a removed key".takeIf { isLate && ran.isNotEmpty() }
    }

    private fun checkDrain(request: SoakRequest, ran: List<SoakRun>): String? {
        val late = ran.firstOrNull {
            val drainingSinceMs = log.drainingSinceMs[it.runner]
            drainingSinceMs != null && it.startedAtMs > drainingSinceMs + DRAIN_PROPAGATION_MS
        } ?: return null
        // A silent runner reads what was sent to it only when it goes on.
        val wasSilent = log.isDisturbed(SILENCE, request.sentAtMs, late.startedAtMs)
        val isBound = isUndisturbed(request) && !wasSilent
        return "reached ${late.runner} at ${late.startedAtMs} after it drained".takeIf { isBound }
    }

    /**
     * A gateway that stops gracefully, or whose configuration changes, must complete each request
     * that it has read. A stream may be cut off at its time limit or by its runner.
     */
    private fun checkGracefulStop(request: SoakRequest, ran: List<SoakRun>): String? {
        val lost = request.outcome as? CallerOutcome.ConnectionLost ?: return null
        val tookMs = request.endedAtMs - request.lastByteAtMs
        val wasPassedOn = lost.hasStatus || ran.isNotEmpty()
        val isCut = wasPassedOn || (lost.isRequestSent && tookMs > CLOSE_RACE_MS)
        val isTimeUp = request.endedAtMs - request.sentAtMs >= log.shortestTimeoutMs
        val isBrokenOff =
            request.kind == RequestKind.CHAT && (isTimeUp || isDisturbed(RUNNERS, request))
        val isBound = isUndisturbed(request) && !isBrokenOff
        return "cut without a whole answer after $tookMs ms".takeIf { isCut && isBound }
    }

    /** A request ends in time, and with a timeout only if a runner had it. */
    private fun checkTime(request: SoakRequest, ran: List<SoakRun>): String? {
        if (!isUndisturbed(request)) return null
        val tookMs = request.endedAtMs - request.lastByteAtMs
        val status = (request.outcome as? CallerOutcome.Complete)?.status
        val wasStranded = status == GATEWAY_TIMEOUT && ran.isEmpty() &&
            !isDisturbed(RUNNERS, request) &&
            !log.isDisturbed(SILENCE, request.sentAtMs, request.endedAtMs)
        return when {
            tookMs > DEADLINE_MS + ANSWER_SLACK_MS -> "unanswered for $tookMs ms"
            wasStranded -> "timed out after $tookMs ms though no runner had it"
            else -> null
        }
    }

    /**
     * A whole answer of a runner is passed on; silence of the runner before it is no reason not to.
     */
    private fun checkPassedOn(request: SoakRequest, ran: List<SoakRun>): String? {
        val status = (request.outcome as? CallerOutcome.Complete)?.status ?: return null
        val answered = ran.firstOrNull {
            it.end == RunEnd.Answered(OK) && checkNotNull(it.endedAtMs) < request.endedAtMs
        } ?: return null
        val isTimeUp = request.endedAtMs - request.sentAtMs >= log.shortestTimeoutMs
        val isBound = isUndisturbed(request) && !isDisturbed(RUNNERS, request) && !isTimeUp
        return "$status though ${answered.runner} answered".takeIf { status != OK && isBound }
    }

    /** A request whose caller has left is neither sent to a runner nor kept running. */
    private fun checkDeparture(request: SoakRequest, ran: List<SoakRun>): String? {
        val left = request.outcome as? CallerOutcome.Left ?: return null
        if (!left.isRequestSent) return "ran without its body".takeIf { ran.isNotEmpty() }
        val latestMs = request.endedAtMs + DEPARTURE_SLACK_MS
        val untilMs = ran.maxOfOrNull { it.endedAtMs ?: log.nowMs() } ?: latestMs
        val isGatewayDisturbed =
            log.isDisturbed(request.gateway, request.sentAtMs - UNDISTURBED_MS, untilMs)
        val isBound = !isGatewayDisturbed &&
            ran.none { log.isDisturbed(it.runner, request.sentAtMs, untilMs) }
        val late = ran.firstOrNull { it.startedAtMs > latestMs }
        val isKeptRunning = request.kind != RequestKind.ORDER &&
            ran.any { (it.endedAtMs ?: Long.MAX_VALUE) > latestMs }
        val runs = ran.joinToString { "${it.runner} ${it.startedAtMs}-${it.endedAtMs} ${it.end}" }
        return when {
            !isBound -> null
            late != null -> "started after its caller left at ${request.endedAtMs}: $runs"
            isKeptRunning -> "ran on after its caller left at ${request.endedAtMs}: $runs"
            else -> null
        }
    }

    private fun checkRecovery(): List<String> {
        val fromMs = log.lastFaultEndMs + RECOVERY_MS
        val late = log.requests.toList().filter {
            it.sentAtMs > fromMs && !it.usesRemovedKey && it.kind != RequestKind.EXTRA &&
                it.outcome !is CallerOutcome.Left
        }
        val failed = late.filter { (it.outcome as? CallerOutcome.Complete)?.status != OK }
        val isViolated = late.isEmpty() || late.size - failed.size < late.size * MIN_SERVED_SHARE
        val outcomes = failed.joinToString { "${it.kind} ${it.sentAtMs} ${it.outcome}" }
        val message = "${failed.size} of ${late.size} not served after the faults: $outcomes"
        return listOf(message).filter { isViolated }
    }

    private fun isUndisturbed(request: SoakRequest): Boolean =
        !isDisturbed(request.gateway, request) && !isDisturbed("store", request)

    private fun isDisturbed(subject: String, request: SoakRequest): Boolean =
        log.isDisturbed(subject, request.sentAtMs - UNDISTURBED_MS, request.endedAtMs)

    private val RequestKind.isIdempotent: Boolean
        get() = this == RequestKind.READ || this == RequestKind.EXTRA

    companion object {
        /** Subjects of disturbances: faults of runners, and their silence, which is none. */
        const val RUNNERS = "runners"
        const val SILENCE = "silence"

        /** Time within which callers want their answer. */
        const val DEADLINE_MS = 3_000L

        private const val OK = 200
        private const val NOT_FOUND = 404
        private const val GATEWAY_TIMEOUT = 504
        private const val UNAUTHORIZED = 401

        /** Statuses that guarantee that an order or a chat did not run. */
        private val NOT_RUN_STATUSES = setOf(408, 421, 429, 503)

        /** Statuses that a valid request must not receive. */
        private val REJECTION_STATUSES = setOf(400, 401, 403, 404, 413, 431)

        /** Equals maxAttempts of the read and chat routes in the configuration of the soak. */
        private const val MAX_RUNS = 2

        /** Time without a disturbance after which the time bounds hold for a gateway. */
        const val UNDISTURBED_MS = 3_000L

        /** Time within which a changed configuration must take effect. */
        const val CONFIG_PROPAGATION_MS = 2_000L

        /** Time within which a draining runner must stop receiving requests. */
        private const val DRAIN_PROPAGATION_MS = 2_000L

        /** A connection lost this soon may have been closed before the request was read. */
        private const val CLOSE_RACE_MS = 200L

        /** Time after its deadline within which an answer must have ended. */
        private const val ANSWER_SLACK_MS = 500L

        /** Time within which a gateway must give up the request of a caller that left. */
        private const val DEPARTURE_SLACK_MS = 500L

        /** Time after the last fault from which requests must be served again. */
        const val RECOVERY_MS = 3_000L

        /** Share of the requests after [RECOVERY_MS] that must be served. */
        private const val MIN_SERVED_SHARE = 0.9
    }
}
