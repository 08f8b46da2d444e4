package cowslipcart.systemtest.soak

import cowslipcart.standins.platform.RunnerFault
import java.util.concurrent.TimeUnit
import kotlin.random.Random

/**
 * Makes [runners] say in their answers that they leave, at most one of each service, or that they
 * want no requests for a while.
 */
internal class SoakNotices(
    private val runners: List<ProxiedRunner>,
    private val log: SoakLog,
    private val random: Random
) {
    /** Returns after [durationMs] of the soak. */
    fun run(durationMs: Long) {
        while (log.nowMs() < durationMs) {
            TimeUnit.MILLISECONDS.sleep(random.nextLong(MIN_INTERVAL_MS, MAX_INTERVAL_MS))
            val runner = runners.random(random)
            val tenths = random.nextLong(MIN_BACKOFF_TENTHS, MAX_BACKOFF_TENTHS)
            if (random.nextInt(LEAVE_ODDS) == 0) leave(runner) else askBackoff(runner, tenths)
        }
    }

    private fun leave(runner: ProxiedRunner): Unit = synchronized(runners) {
        val inService = runners.filter { it.service == runner.service && !log.isLeaving(it.id) }
        if (inService.size <= MIN_IN_SERVICE || runner !in inService) return
        log.leavingSinceMs[runner.id] = log.nowMs()
        runner.server.isLeaving = true
        log.note("${runner.id}: leaves by its answers")
    }

    private fun askBackoff(runner: ProxiedRunner, tenths: Long) {
        log.note("${runner.id}: asks for a backoff of $tenths tenths of a second")
        val faults = runner.server.faults
        val value = "${tenths / TENTHS}.${tenths % TENTHS}"
        synchronized(faults) { faults += RunnerFault.AsksBackoff(value) }
    }

    private companion object {
        const val MIN_INTERVAL_MS = 400L
        const val MAX_INTERVAL_MS = 1_200L
        const val LEAVE_ODDS = 4

        /** Drains may take one more runner of a service. */
        const val MIN_IN_SERVICE = 2
        const val MIN_BACKOFF_TENTHS = 6L
        const val MAX_BACKOFF_TENTHS = 25L
        const val TENTHS = 10L
    }
}
