package cowslipcart.core.membership

import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.HostId
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import org.junit.jupiter.api.Nested

/**
 * Guards against views that keep dead hosts, lose live ones or do not converge when hosts are
 * killed, paused or restarted and messages are lost.
 */
class MembershipSimulationTest {
    private fun forEachSeed(count: Int, run: (Int) -> Unit) {
        for (seed in 1..count) {
            runCatching { run(seed) }
                .onFailure { throw AssertionError("seed $seed: ${it.message}", it) }
        }
    }

    /** Starts 2 to 20 hosts with a random loss rate and runs until their views have converged. */
    private fun createConverged(seed: Int): MembershipSimulation {
        val random = Random(seed)
        val hostCount = random.nextInt(2, 21)
        return MembershipSimulation(seed, hostCount, lossRate = random.nextDouble(MAX_LOSS_RATE))
            .apply { runUntil(CONVERGED_MS) }
    }

    private fun MembershipSimulation.checkViews() {
        val expected = live.map { it.identity }.associateBy { it.host }
        for (process in live) {
            val view = process.view
            check(view.liveHosts == expected) {
                "${process.identity.host}: expected ${expected.keys}, got ${view.liveHosts.keys}"
            }
            check(view.ownerCandidates == expected.keys) {
                "${process.identity.host}: expected owners ${expected.keys}, got ${view.ownerCandidates}"
            }
        }
    }

    @Nested
    inner class Start {
        @Test
        fun `all hosts discover each other`() = forEachSeed(30) { seed ->
            createConverged(seed).checkViews()
        }
    }

    @Nested
    inner class Kill {
        @Test
        fun `a dead host leaves all views within the bound although the list keeps it`() =
            forEachSeed(60) { seed ->
                val simulation = createConverged(seed)
                simulation.kill(simulation.live.random(Random(seed)), listLagMs = 120_000)
                simulation.runUntil(CONVERGED_MS + DEATH_BOUND_MS)
                simulation.checkViews()
            }

        @Test
        fun `half of the hosts leave all views within the bound`() = forEachSeed(40) { seed ->
            val simulation = createConverged(seed)
            val killed = simulation.live.shuffled(Random(seed)).drop(simulation.live.size / 2 + 1)
            killed.forEach { simulation.kill(it, listLagMs = 5_000) }
            simulation.runUntil(CONVERGED_MS + DEATH_BOUND_MS)
            simulation.checkViews()
        }
    }

    @Nested
    inner class Pause {
        @Test
        fun `a paused host becomes live again`() = forEachSeed(40) { seed ->
            val simulation = createConverged(seed)
            simulation.pause(simulation.live.random(Random(seed)), durationMs = 20_000)
            simulation.runUntil(CONVERGED_MS + 20_000 + RETURN_BOUND_MS)
            simulation.checkViews()
        }
    }

    @Nested
    inner class Partition {
        @Test
        fun `both sides rejoin although each has declared the other dead`() =
            forEachSeed(20) { seed ->
                val simulation = createConverged(seed)
                val hosts = simulation.live.map { it.identity.host }
                simulation.isolated = hosts.take((hosts.size + 1) / 2).toSet()
                simulation.runUntil(CONVERGED_MS + DEATH_BOUND_MS)
                val sizes = simulation.live.map { it.view.liveHosts.size }
                check(sizes.all { it < hosts.size }) { "expected two sides, got views of $sizes" }
                simulation.isolated = emptySet()
                simulation.runUntil(simulation.nowMs + RECONNECT_BOUND_MS)
                simulation.checkViews()
            }
    }

    @Nested
    inner class Faults {
        @Test
        fun `views converge after kills, pauses and restarts`() = forEachSeed(100) { seed ->
            val simulation = createConverged(seed)
            val random = Random(seed)
            repeat(FAULT_COUNT) {
                injectFault(simulation, random)
                simulation.runUntil(simulation.nowMs + random.nextLong(4_000))
            }
            simulation.runUntil(simulation.nowMs + MAX_PAUSE_MS + CONVERGENCE_BOUND_MS)
            simulation.checkViews()
        }

        private fun injectFault(simulation: MembershipSimulation, random: Random) {
            val process = simulation.live.filter { it.isRunning }.randomOrNull(random) ?: return
            val host: HostId = process.identity.host
            when (random.nextInt(4)) {
                0 -> if (simulation.live.size > 2) simulation.kill(process, random.nextLong(9_000))

                1, 2 -> simulation.pause(process, random.nextLong(MAX_PAUSE_MS))

                else -> {
                    simulation.kill(process, listLagMs = 0)
                    simulation.start(host)
                }
            }
        }
    }

    @Nested
    inner class Leaving {
        @Test
        fun `a leaving host stays live and is no owner anywhere`() = forEachSeed(20) { seed ->
            val simulation = createConverged(seed)
            val leaver = simulation.live.random(Random(seed))
            simulation.leave(leaver)
            simulation.runUntil(CONVERGED_MS + SPREAD_BOUND_MS)
            for (process in simulation.live) {
                assertEquals(simulation.live.size, process.view.liveHosts.size)
                check(leaver.identity.host !in process.view.ownerCandidates) {
                    "expected no owner that leaves"
                }
            }
        }

        @Test
        fun `an endpoint notice reaches all hosts and expires`() = forEachSeed(20) { seed ->
            val simulation = createConverged(seed)
            val endpoint = EndpointId("runner-1")
            simulation.announceLeaving(simulation.live.random(Random(seed)), endpoint)
            simulation.runUntil(CONVERGED_MS + SPREAD_BOUND_MS)
            simulation.live.forEach { assertEquals(setOf(endpoint), it.view.leavingEndpoints) }
            simulation.runUntil(CONVERGED_MS + MembershipView.ENDPOINT_NOTICE_LIFETIME_MS + 1_000)
            simulation.live.forEach { assertEquals(emptySet(), it.view.leavingEndpoints) }
        }
    }

    private companion object {
        const val MAX_LOSS_RATE = 0.1
        const val CONVERGED_MS = 15_000L
        const val DEATH_BOUND_MS = 15_000L
        const val RETURN_BOUND_MS = 15_000L
        const val CONVERGENCE_BOUND_MS = 20_000L
        const val RECONNECT_BOUND_MS = 20_000L
        const val SPREAD_BOUND_MS = 10_000L
        const val MAX_PAUSE_MS = 12_000L
        const val FAULT_COUNT = 12
    }
}
