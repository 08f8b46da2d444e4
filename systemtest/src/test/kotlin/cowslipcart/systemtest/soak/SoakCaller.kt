package cowslipcart.systemtest.soak

import java.io.IOException
import java.util.concurrent.TimeUnit
import kotlin.random.Random

/** Name and HTTP port of a gateway that callers send to. */
internal class SoakTarget(val name: String, val frontPort: Int)

/** How a caller abandons a request: after [afterMs], in the middle of its body if [isInBody]. */
internal class Departure(val afterMs: Long, val isReset: Boolean, val isInBody: Boolean)

/** Sends random requests one at a time and reuses its connection while that stays open. */
internal class SoakCaller(
    private val number: Int,
    private val targets: () -> List<SoakTarget>,
    private val log: SoakLog,
    private val random: Random
) {
    private class Plan(
        val id: String,
        val kind: RequestKind,
        val usesRemovedKey: Boolean,
        val departure: Departure?,
        val bodyPauseMs: Long,
        val workMs: Long
    )

    private var connection: KeepAliveConnection? = null
    private var target: SoakTarget? = null
    private var sentCount = 0

    /** Sends requests until [isStopped] returns true. */
    fun run(isStopped: () -> Boolean) {
        while (!isStopped()) {
            val outcome = sendOne()
            TimeUnit.MILLISECONDS.sleep(pauseMs(outcome))
        }
        connection?.close()
    }

    private fun pauseMs(outcome: CallerOutcome?): Long {
        val isRefused = outcome !is CallerOutcome.Complete || outcome.status != OK
        return when {
            random.nextInt(IDLE_ONE_IN) == 0 ->
                random.nextLong(log.idleLimitMs() * IDLE_FIFTHS / FIFTHS)

            isRefused -> random.nextLong(MAX_REFUSED_PAUSE_MS)

            else -> random.nextLong(MAX_PAUSE_MS)
        }
    }

    private fun sendOne(): CallerOutcome? {
        val plan = plan()
        val current = openConnection() ?: return null
        val sentAtMs = log.nowMs()
        val body = if (plan.kind.method == "GET") "" else BODY
        val sentHead = current.send((head(plan, body.length) + body.take(1)).toByteArray())
        val isInBody = plan.departure?.isInBody == true
        val pauseMs = if (isInBody) checkNotNull(plan.departure).afterMs else plan.bodyPauseMs
        if (pauseMs > 0) TimeUnit.MILLISECONDS.sleep(pauseMs)
        val isSent = sentHead && (isInBody || current.send(body.drop(1).toByteArray()))
        val lastByteAtMs = log.nowMs()
        val outcome = when {
            !isSent -> CallerOutcome.ConnectionLost(isRequestSent = false, hasStatus = false)
            isInBody -> CallerOutcome.Left(isRequestSent = false)
            else -> current.receive(plan.departure?.afterMs)
        }
        finish(current, outcome, plan.departure)
        val gateway = checkNotNull(target).name
        log.requests += SoakRequest(
            plan.id,
            plan.kind,
            gateway,
            plan.usesRemovedKey,
            sentAtMs,
            lastByteAtMs,
            log.nowMs(),
            outcome
        )
        return outcome
    }

    private fun plan(): Plan {
        val kind = RequestKind.entries.random(random)
        val hasBody = kind.method != "GET"
        val departure = if (random.nextInt(DEPARTURE_ONE_IN) == 0) {
            Departure(
                random.nextLong(MIN_DEPARTURE_MS, MAX_DEPARTURE_MS),
                random.nextBoolean(),
                hasBody && random.nextInt(BODY_DEPARTURE_ONE_IN) == 0
            )
        } else {
            null
        }
        val isSlowBody = hasBody && random.nextInt(SLOW_BODY_ONE_IN) == 0
        val longOneIn = if (departure == null) LONG_WORK_ONE_IN else LONG_ABANDONED_ONE_IN
        val isLong = random.nextInt(longOneIn) == 0
        return Plan(
            "c$number-${++sentCount}",
            kind,
            random.nextInt(REMOVED_KEY_ONE_IN) == 0,
            departure,
            if (isSlowBody) random.nextLong(MAX_BODY_PAUSE_MS) else 0,
            if (isLong) random.nextLong(MAX_LONG_WORK_MS) else random.nextLong(MAX_WORK_MS)
        )
    }

    private fun finish(
        current: KeepAliveConnection,
        outcome: CallerOutcome,
        departure: Departure?
    ) {
        if (outcome is CallerOutcome.Complete && outcome.isKeptAlive) return
        val isReset = outcome is CallerOutcome.Left && departure?.isReset == true
        if (isReset) current.reset() else current.close()
        connection = null
    }

    /** The kept connection if the gateway has not closed it, or else a new one. */
    private fun openConnection(): KeepAliveConnection? {
        val kept = connection
        if (kept?.isOpen() == true) return kept
        kept?.close()
        return connect()
    }

    private fun connect(): KeepAliveConnection? {
        val next = targets().random(random)
        target = next
        connection = try {
            KeepAliveConnection(next.frontPort, CALLER_TIMEOUT_MS)
        } catch (_: IOException) {
            null
        }
        return connection
    }

    private fun head(plan: Plan, bodyLength: Int): String {
        val key = if (plan.usesRemovedKey) GatewaySoak.REMOVED_KEY else GatewaySoak.KEPT_KEY
        return "${plan.kind.method} ${plan.kind.path}${plan.id} HTTP/1.1\r\n" +
            "Host: shop.example\r\nAttempt-Id: ${plan.id}\r\nApi-Key: $key\r\n" +
            "Deadline-Ms: ${SoakChecks.DEADLINE_MS}\r\nWork-Ms: ${plan.workMs}\r\n" +
            "${plan.kind.headers}Content-Length: $bodyLength\r\n\r\n"
    }

    private companion object {
        const val OK = 200
        const val BODY = "{}"
        const val MAX_PAUSE_MS = 40L
        const val MAX_REFUSED_PAUSE_MS = 300L

        /** Exceeds the deadline, so that the gateway answers before the caller gives up. */
        const val CALLER_TIMEOUT_MS = 4_000L

        /** One in this many requests uses the key that is removed during the soak. */
        const val REMOVED_KEY_ONE_IN = 5

        /** One in this many requests is followed by a pause of up to four fifths of the limit. */
        const val IDLE_ONE_IN = 25
        const val IDLE_FIFTHS = 4
        const val FIFTHS = 5
        const val DEPARTURE_ONE_IN = 6
        const val BODY_DEPARTURE_ONE_IN = 5
        const val MIN_DEPARTURE_MS = 5L
        const val MAX_DEPARTURE_MS = 400L
        const val SLOW_BODY_ONE_IN = 8
        const val MAX_BODY_PAUSE_MS = 300L
        const val LONG_WORK_ONE_IN = 5

        /** Work of abandoned requests must often outlast them, or a gateway need not end it. */
        const val LONG_ABANDONED_ONE_IN = 2
        const val MAX_LONG_WORK_MS = 1_500L
        const val MAX_WORK_MS = 120L
    }
}
