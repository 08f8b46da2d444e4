package cowslipcart.core.forwarding

import cowslipcart.core.forwarding.ForwardingFixture.Companion.entry
import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.HostId
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertTrue
import org.junit.jupiter.api.Nested

/**
 * Guards against hosts that together make endpoints decline more requests than these bear: such an
 * endpoint falls over if it declines more than a limit within a second.
 */
class BrittleEndpointTest {
    /** Hosts that report to each other every 200 ms, before endpoints that let one request wait. */
    private class Fleet(hostCount: Int, endpointCount: Int, private val requestsPerMs: Double) {
        private class Run(val host: ForwardingFixture, val call: ForwardedCall, var endsAtMs: Long)

        private inner class Endpoint(val id: EndpointId) {
            val runs = mutableListOf<Run>()
            val declinedAtMs = ArrayDeque<Long>()
            var downUntilMs = 0L

            fun take(run: Run): AttemptOutcome? {
                if (nowMs < downUntilMs) return AttemptOutcome.NotSent("down")
                if (runs.size < SLOTS + QUEUE) {
                    val waitsForMs = runs.map { it.endsAtMs }.sorted()
                        .let { if (it.size < SLOTS) nowMs else it[it.size - SLOTS] }
                    run.endsAtMs = waitsForMs + random.nextLong(MIN_WORK_MS, MAX_WORK_MS)
                    runs += run
                    return null
                }
                declinedAtMs += nowMs
                while (nowMs - declinedAtMs.first() >= WINDOW_MS) declinedAtMs.removeFirst()
                if (declinedAtMs.size > LIMIT && nowMs >= CONTACT_MS) fall()
                return AttemptOutcome.Declined(DeclineReason.FULL)
            }

            private fun fall() {
                fallsAtMs += nowMs
                declinedAtMs.clear()
                downUntilMs = nowMs + DOWN_MS
                val lost = runs.toList().also { runs.clear() }
                for (run in lost) {
                    val outcome = AttemptOutcome.Broken("connection lost", isConnectionLost = true)
                    run.host.end(run.call, outcome)
                }
            }
        }

        private val random = Random(1)
        private var nowMs = 0L
        private val names = (1..hostCount).map { "host-$it" }
        private val endpoints = (1..endpointCount).map { Endpoint(EndpointId("e$it")) }
        private val hosts = names.mapIndexed { index, name ->
            ForwardingFixture(host = name, seed = index).also { host ->
                val listed = names.associate { HostId(it) to HostProfile("a", 1.0) }
                host.controller.onHostsListed(listed, 0)
                host.listEndpoints(*endpoints.map { entry(it.id.value, SLOTS) }.toTypedArray())
                host.onEffects = { effects -> pending += effects.map { host to it } }
            }
        }
        private val pending = ArrayDeque<Pair<ForwardingFixture, ForwardingEffect>>()
        val fallsAtMs = mutableListOf<Long>()
        var servedCount = 0
            private set

        fun play(durationMs: Long) {
            var due = 0.0
            while (nowMs < durationMs) {
                nowMs++
                hosts.forEach { it.nowMs = nowMs }
                endpoints.forEach { finish(it) }
                due += requestsPerMs
                while (due >= 1) {
                    due--
                    val host = hosts.random(random)
                    host.arrive(host.call(rank = random.nextInt(2), remainingMs = 600))
                    perform()
                }
                if (nowMs % TICK_MS == 0L) hosts.forEach { it.send(ForwardingInput.Tick) }
                if (nowMs % REPORT_MS == 0L) report()
                perform()
            }
        }

        private fun finish(endpoint: Endpoint) {
            for (run in endpoint.runs.filter { it.endsAtMs <= nowMs }) {
                endpoint.runs -= run
                servedCount++
                state(run.host, endpoint)
                run.host.end(run.call, AttemptOutcome.Answered(isSuccess = true))
                run.host.send(ForwardingInput.CallClosed(run.call.id))
            }
        }

        private fun state(host: ForwardingFixture, endpoint: Endpoint) =
            host.send(ForwardingInput.DeclineLimitStated(endpoint.id, LIMIT))

        private fun perform() {
            while (pending.isNotEmpty()) {
                val (host, effect) = pending.removeFirst()
                val command = (effect as? ForwardingEffect.Command)?.command
                if (command !is CallCommand.Send) continue
                val endpoint = endpoints.first { it.id == command.endpoint.id }
                val outcome = endpoint.take(Run(host, effect.call, 0)) ?: continue
                if (outcome is AttemptOutcome.Declined) state(host, endpoint)
                host.end(effect.call, outcome)
            }
        }

        private fun report() {
            val reports = hosts.mapNotNull { it.controller.loadReport(nowMs) }
            for (host in hosts) {
                for (report in reports) {
                    if (report.host !=
                        host.host
                    ) {
                        host.send(ForwardingInput.PeersReported(listOf(report)))
                    }
                }
            }
        }
    }

    @Nested
    inner class Overload {
        private fun assertFewFalls(hosts: Int, endpoints: Int) {
            val slots = endpoints * SLOTS
            val fleet = Fleet(hosts, endpoints, requestsPerMs = 2.0 * slots / MEAN_WORK_MS)
            fleet.play(DURATION_MS)
            val allowed = 2 + endpoints / 10
            val falls = fleet.fallsAtMs
            assertTrue(falls.size <= allowed, "expected $allowed falls, found $falls")
            val capacity = slots * DURATION_MS / MEAN_WORK_MS
            val served = fleet.servedCount
            assertTrue(served > capacity / 2, "expected half of $capacity served, found $served")
        }

        @Test
        fun `few endpoints fall over before few hosts`() = assertFewFalls(15, 3)

        @Test
        fun `few endpoints fall over before many hosts`() = assertFewFalls(60, 12)
    }

    private companion object {
        const val SLOTS = 6
        const val QUEUE = 1

        /** Requests that an endpoint may decline in [WINDOW_MS]. */
        const val LIMIT = 10
        const val WINDOW_MS = 1_000L
        const val DOWN_MS = 3_000L
        const val MIN_WORK_MS = 20L
        const val MAX_WORK_MS = 101L
        const val MEAN_WORK_MS = 60L
        const val TICK_MS = 20L
        const val REPORT_MS = 200L

        /** Until then hosts need not know that the endpoints are brittle. */
        const val CONTACT_MS = 3_000L
        const val DURATION_MS = 20_000L
    }
}
