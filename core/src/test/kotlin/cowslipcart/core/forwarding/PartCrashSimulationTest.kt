package cowslipcart.core.forwarding

import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.HostId
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import org.junit.jupiter.api.Nested

/** Plays hosts whose reports are lost or late, with endpoints that crash. */
class PartCrashSimulationTest {
    private class Host(number: Int) {
        val history = PartCrashHistory(HostId("h$number"))
        var nextReportMs = number * 7L % REPORT_MS
    }

    private class Message(val atMs: Long, val to: Host, val parts: List<SuspectedPart>)

    /** Sound requests have one of three first parts and one of 200 second parts. */
    private class Simulation(val hostCount: Int, val delayMs: Long, seed: Int) {
        val random = Random(seed)
        val hosts = (0 until hostCount).map { Host(it) }
        val messages = mutableListOf<Message>()
        var nowMs = 0L
        var crashCount = 0
        var fifthCrashMs: Long? = null
        var deadlySentLate = 0
        var soundRefused = 0
        var soundSent = 0

        fun run(untilMs: Long, deadlyPerS: Double, resetShare: Double) {
            while (nowMs < untilMs) {
                nowMs += STEP_MS
                repeat(SOUND_PER_STEP) { sendSound(resetShare) }
                if (random.nextDouble() < deadlyPerS * STEP_MS / 1_000) sendDeadly()
                exchangeReports()
            }
        }

        private fun soundPrompt() = prompt(random.nextLong(3), 100 + random.nextLong(200))

        private fun sendSound(resetShare: Double) {
            val host = hosts.random(random).history
            val prompt = soundPrompt()
            soundSent++
            when {
                host.isQuarantined(prompt, nowMs) -> soundRefused++

                random.nextDouble() < resetShare ->
                    host.onCrash(prompt, randomEndpoint(), false, nowMs)

                else -> host.onAnswer(prompt, nowMs)
            }
        }

        private fun randomEndpoint() = EndpointId("e${random.nextInt(ENDPOINTS)}")

        private fun sendDeadly() {
            val host = hosts.random(random).history
            val prompt = prompt(random.nextLong(3), DEADLY)
            if (host.isQuarantined(prompt, nowMs)) return
            host.onDispatched(prompt, nowMs)
            if (nowMs > (fifthCrashMs ?: Long.MAX_VALUE / 2) + CONTACT_MS) deadlySentLate++
            crashCount++
            if (crashCount == 5) fifthCrashMs = nowMs
            val endpoint = EndpointId("c$crashCount")
            host.onCrash(prompt, endpoint, true, nowMs)
            repeat(BROKEN_BESIDE) {
                hosts.random(random).history.onCrash(soundPrompt(), endpoint, false, nowMs)
            }
        }

        private fun exchangeReports() {
            for (host in hosts) {
                if (nowMs < host.nextReportMs) continue
                host.nextReportMs = nowMs + REPORT_MS
                val parts = host.history.takeReport(nowMs)
                if (parts.isEmpty()) continue
                for (other in hosts) {
                    if (other === host || random.nextDouble() < LOSS) continue
                    messages += Message(nowMs + random.nextLong(1, delayMs), other, parts)
                }
            }
            val due = messages.filter { it.atMs <= nowMs }
            messages.removeAll { it.atMs <= nowMs }
            for (message in due) message.to.history.onPeerReport(message.parts, nowMs)
        }

        private fun prompt(vararg parts: Long) =
            (parts.toList() + random.nextLong()).map { PromptPart(PromptPartId(it), 100) }
    }

    @Nested
    inner class DeadlyPart {
        @Test
        fun `few deadly requests are sent and sound requests go on`() {
            for (seed in 1..10) {
                val simulation = Simulation(hostCount = 15, delayMs = 50, seed)
                simulation.run(26_000, deadlyPerS = 1.5, resetShare = 0.0)

                assertTrue(simulation.crashCount in 3..8, "$seed: ${simulation.crashCount}")
                assertEquals(0, simulation.deadlySentLate, "seed $seed")
                val share = simulation.soundRefused.toDouble() / simulation.soundSent
                assertTrue(share < MAX_REFUSED_SHARE, "seed $seed: $share refused")
            }
        }

        @Test
        fun `it is the same with relays, which delay reports`() {
            for (seed in 1..3) {
                val simulation = Simulation(hostCount = 60, delayMs = 1_200, seed)
                simulation.run(26_000, deadlyPerS = 1.5, resetShare = 0.0)

                assertEquals(0, simulation.deadlySentLate, "seed $seed")
                val share = simulation.soundRefused.toDouble() / simulation.soundSent
                assertTrue(share < MAX_REFUSED_SHARE, "seed $seed: $share refused")
            }
        }
    }

    @Nested
    inner class RandomResets {
        @Test
        fun `resets of five in a hundred requests quarantine nothing that is in use`() {
            for (seed in 1..5) {
                val simulation = Simulation(hostCount = 15, delayMs = 50, seed)
                simulation.run(30_000, deadlyPerS = 0.0, resetShare = 0.05)

                val share = simulation.soundRefused.toDouble() / simulation.soundSent
                assertTrue(share < MAX_REFUSED_SHARE, "seed $seed: $share refused")
            }
        }
    }

    private companion object {
        const val STEP_MS = 50L
        const val REPORT_MS = 200L
        const val SOUND_PER_STEP = 3
        const val ENDPOINTS = 18
        const val DEADLY = 999L

        /** Other requests without an event that one crash breaks. */
        const val BROKEN_BESIDE = 8

        /** Share of the reports that are lost. */
        const val LOSS = 0.1

        /** Within this time after the fifth crash deadly requests may still be sent. */
        const val CONTACT_MS = 3_000L
        const val MAX_REFUSED_SHARE = 0.002
    }
}
