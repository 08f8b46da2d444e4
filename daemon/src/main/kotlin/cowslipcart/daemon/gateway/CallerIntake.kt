package cowslipcart.daemon.gateway

import cowslipcart.core.intake.ClientAddress
import cowslipcart.core.intake.ConnectionAdmission
import cowslipcart.core.intake.ConnectionId
import cowslipcart.core.intake.ConnectionLimit
import cowslipcart.core.intake.HoldId
import cowslipcart.core.intake.IntakeBudget
import cowslipcart.core.intake.IntakeDecision
import cowslipcart.core.intake.IntakeLimits
import cowslipcart.core.intake.RefusedIntake
import cowslipcart.daemon.control.RuntimeClock
import kotlinx.coroutines.CompletableJob
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay

/**
 * What the callers of this host make it hold: memory for their requests, and connections. Traffic
 * threads call it under one lock, which is held for the length of one decision of the core; what is
 * decided is carried out after it is released.
 */
internal class CallerIntake(
    val limits: IntakeLimits,
    private val clock: RuntimeClock,
    private val metrics: GatewayMetrics,
    private val eventLog: GatewayEventLog
) {
    private val lock = Any()
    private val budget = IntakeBudget(limits)
    private val connectionLimit = ConnectionLimit(limits)
    private val holds = HashMap<HoldId, IntakeHold>()
    private val slots = HashMap<ConnectionId, ConnectionSlot>()
    private val loggedAtMs = HashMap<String, Long>()

    /** Bytes that all requests hold. */
    val heldBytes: Long get() = synchronized(lock) { budget.heldBytes }

    /**
     * Takes a new connection in; returns null if it has to be closed. Waits while as many as can be
     * are being closed for new ones, so that new ones wait in the kernel.
     */
    suspend fun openConnection(): ConnectionSlot? {
        repeat(BUSY_ATTEMPTS) {
            var closing: ConnectionSlot? = null
            var slot: ConnectionSlot? = null
            val admission = synchronized(lock) {
                connectionLimit.open().also { admission ->
                    when (admission) {
                        is ConnectionAdmission.Accepted -> {
                            closing = admission.closing?.let { slots[it] }
                            slot = ConnectionSlot(admission.id).also { slots[admission.id] = it }
                        }

                        is ConnectionAdmission.Busy ->
                            closing = admission.closing?.let { slots[it] }

                        ConnectionAdmission.Refused -> Unit
                    }
                }
            }
            if (closing != null || admission == ConnectionAdmission.Refused) strike("connections")
            closing?.close()
            if (admission !is ConnectionAdmission.Busy) return slot
            delay(BUSY_PAUSE_MS)
        }
        strike("connections")
        return null
    }

    /** Begins a request of [client]. */
    fun openHold(client: ClientAddress): IntakeHold = synchronized(lock) {
        val id = budget.open(client, clock.nowMs())
        IntakeHold(id, this).also { holds[id] = it }
    }

    /** Asks for [bytes] for [hold]; returns null if they were granted at once, or else the wait. */
    fun request(hold: IntakeHold, bytes: Int): Job? {
        var wait: CompletableJob? = null
        decide { nowMs ->
            val decisions = budget.request(hold.id, bytes.toLong(), nowMs)
            val isGranted = decisions.any { it == IntakeDecision.Granted(hold.id) }
            wait = if (isGranted) null else Job()
            hold.wait = wait
            decisions
        }
        return wait
    }

    /** Reserves [bytes] for [hold] if there is room now. */
    fun tryReserve(hold: IntakeHold, bytes: Int): Boolean =
        synchronized(lock) { budget.tryReserve(hold.id, bytes.toLong()) }

    /** Gives back [bytes] of [hold]. */
    fun reduce(hold: IntakeHold, bytes: Int) = decide { budget.reduce(hold.id, bytes.toLong(), it) }

    /** Notes that [bytes] of [hold] have arrived. */
    fun received(hold: IntakeHold, bytes: Int): Unit =
        synchronized(lock) { budget.received(hold.id, bytes, clock.nowMs()) }

    /** Notes that [hold] was read whole; returns false if it was refused before. */
    fun complete(hold: IntakeHold): Boolean = synchronized(lock) { budget.complete(hold.id) }

    /** Ends [hold] and gives its bytes back. */
    fun release(hold: IntakeHold) = decide {
        holds -= hold.id
        budget.release(hold.id, it)
    }

    /** Decides again about the requests that wait. */
    fun recheck() = decide { budget.recheck(it) }

    /** Counts that [limit] was reached, and logs it once a second. */
    fun strike(limit: String) {
        metrics.limitStrikes.labelValues(limit).inc()
        val nowMs = clock.nowMs()
        val isDue = synchronized(lock) {
            val lastMs = loggedAtMs[limit]
            val isDue = lastMs == null || nowMs - lastMs >= LOG_INTERVAL_MS
            if (isDue) loggedAtMs[limit] = nowMs
            isDue
        }
        if (!isDue) return
        val (held, requests) = synchronized(lock) { budget.heldBytes to budget.requestCount }
        eventLog.event(
            "limit-reached",
            "limit" to limit,
            "heldBytes" to held,
            "requests" to requests,
            "connections" to synchronized(lock) { connectionLimit.openCount }
        )
    }

    private inline fun decide(action: (nowMs: Long) -> List<IntakeDecision>) {
        val decisions = synchronized(lock) { resolve(action(clock.nowMs())) }
        for ((hold, decision) in decisions) {
            when (decision) {
                is IntakeDecision.Granted -> hold.onGranted()

                is IntakeDecision.Refused -> {
                    strike(decision.reason.text)
                    hold.refuse(decision.reason)
                }
            }
        }
    }

    private fun resolve(decisions: List<IntakeDecision>): List<Pair<IntakeHold, IntakeDecision>> =
        if (decisions.isEmpty()) {
            emptyList()
        } else {
            decisions.mapNotNull { decision -> holds[decision.id]?.let { it to decision } }
        }

    /** The place of one connection among those that are open. */
    inner class ConnectionSlot(private val id: ConnectionId) {
        /** Completes when the connection has to be closed for a new one. */
        val closing = Job()

        @Volatile
        private var reading: IntakeHold? = null

        /** No request is under way. */
        fun onIdle() {
            reading = null
            synchronized(lock) { connectionLimit.onIdle(id) }
        }

        /** A request has begun, which [hold] counts. */
        fun onReading(hold: IntakeHold) {
            reading = hold
            synchronized(lock) { connectionLimit.onReading(id) }
        }

        /** The request was read whole. */
        fun onServing() {
            reading = null
            synchronized(lock) { connectionLimit.onServing(id) }
        }

        /** The connection is closed. */
        fun onClosed() = synchronized(lock) {
            slots -= id
            connectionLimit.onClosed(id)
        }

        /** Closes the connection, with a refusal if a request is being read. */
        fun close() {
            closing.complete()
            reading?.refuse(RefusedIntake.CONNECTIONS)
        }
    }

    private companion object {
        /** Bounds the log lines of a limit that strikes often, in ms. */
        const val LOG_INTERVAL_MS = 1_000L

        /** Closing a connection takes some ms; callers wait a second for a new one. */
        const val BUSY_PAUSE_MS = 5L
        const val BUSY_ATTEMPTS = 160
    }
}
