package cowslipcart.core.forwarding

import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.HostId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import org.junit.jupiter.api.Nested

/** Guards against prompt parts that crash one endpoint after another, and against wrong blame. */
class PartCrashHistoryTest {
    private val history = PartCrashHistory(HostId("h1"))
    private val deadly = prompt(1, 66, 1_000)

    private fun prompt(vararg parts: Long) = parts.map { PromptPart(PromptPartId(it), 100) }

    private fun endpoint(number: Int) = EndpointId("e$number")

    /** Crashes [count] endpoints on [parts], one a second from [fromMs]; returns the last time. */
    private fun crash(
        count: Int,
        parts: List<PromptPart> = deadly,
        fromMs: Long = 0,
        on: PartCrashHistory = history
    ): Long {
        repeat(count) { on.onCrash(parts, endpoint(it), false, fromMs + it * 1_000L) }
        return fromMs + (count - 1) * 1_000L
    }

    /** Answers requests with the sound parts that [deadly] ones share. */
    private fun answerOthers(nowMs: Long, on: PartCrashHistory = history) =
        on.onAnswer(prompt(1, 2, 9), nowMs)

    @Nested
    inner class Blame {
        @Test
        fun `a part that crashed three endpoints without an answer is quarantined`() {
            assertFalse(history.isQuarantined(deadly, crash(2)))
            val nowMs = crash(3)
            answerOthers(nowMs)

            assertTrue(history.isQuarantined(prompt(7, 66, 5), nowMs))
        }

        /** Guards against ten crashes within a second by a part that comes often. */
        @Test
        fun `three crashes as the answer began are enough within half a second`() {
            repeat(3) { history.onCrash(deadly, endpoint(it), true, it * 300L) }
            answerOthers(650)

            assertTrue(history.isQuarantined(deadly, 700))
            assertFalse(history.isQuarantined(prompt(1, 5), 700))
        }

        @Test
        fun `parts that are answered elsewhere are not blamed`() {
            for (number in 0 until 10) {
                history.onCrash(deadly, endpoint(number), false, number * 1_000L)
                answerOthers(number * 1_000L + 200)
            }

            assertFalse(history.isQuarantined(prompt(1, 5), 10_000))
            assertTrue(history.isQuarantined(deadly, 10_000))
        }

        @Test
        fun `the last part is never blamed`() {
            crash(5, prompt(3))

            assertFalse(history.isQuarantined(prompt(3, 4), 5_000))
        }

        @Test
        fun `one crash that breaks several requests counts once`() {
            for (nowMs in 0L..2_000 step 500) history.onCrash(deadly, endpoint(1), false, nowMs)

            assertFalse(history.isQuarantined(deadly, 2_000))
        }

        @Test
        fun `endpoints that crash all at once do not blame a part`() {
            repeat(18) { history.onCrash(prompt(1, 2, 3), endpoint(it), false, it * 70L) }

            assertFalse(history.isQuarantined(prompt(1, 2, 9), 1_300))
        }

        @Test
        fun `a quarantined part explains the crash of the parts beside it`() {
            val nowMs = crash(3)
            answerOthers(nowMs)
            crash(3, fromMs = nowMs + 1_000)

            assertFalse(history.isQuarantined(prompt(1, 5), nowMs + 4_000))
        }
    }

    @Nested
    inner class Beside {
        /** Guards against a rare part that ran beside the deadly one three times. */
        @Test
        fun `a part in some of the crashes of another part is released`() {
            val rare = prompt(3, 9)
            for (number in 0..2) {
                history.onCrash(rare, endpoint(number), false, number * 1_200L)
                history.onCrash(deadly, endpoint(number), false, number * 1_200L)
            }
            history.onCrash(deadly, endpoint(3), false, 3_000)

            assertFalse(history.isQuarantined(rare, 3_000))
            assertTrue(history.isQuarantined(deadly, 3_000))
        }

        /** Guards against a bounded list of crashes that loses those of the rare part. */
        @Test
        fun `it stays released while the other part crashes more endpoints`() {
            val rare = prompt(3, 9)
            for (number in 0..7) {
                if (number in 1..3) history.onCrash(rare, endpoint(number), false, number * 1_200L)
                history.onCrash(deadly, endpoint(number), false, number * 1_200L)
            }

            assertFalse(history.isQuarantined(rare, 9_000))
        }
    }

    @Nested
    inner class Release {
        @Test
        fun `an answer releases the part`() {
            val nowMs = crash(3)
            history.onAnswer(deadly, nowMs + 300)

            assertFalse(history.isQuarantined(deadly, nowMs + 300))
            val changes = history.takeChanges().map { "${it.subject} ${it.change}" }
            assertTrue("part 42 part-quarantined" in changes, "$changes")
            assertTrue("part 42 part-released" in changes, "$changes")
        }

        @Test
        fun `hosts probe a quarantined part one after another`() {
            val hosts = (1..145).map { PartCrashHistory(HostId("host-$it")) }
            for (host in hosts) crash(3, on = host)
            var probes = 0
            for (nowMs in 2_000L..300_000 step 1_000) {
                val host = hosts[(nowMs / 1_000 * 37 % hosts.size).toInt()]
                if (host.isQuarantined(deadly, nowMs)) continue
                probes++
                host.onDispatched(deadly, nowMs)
                assertTrue(nowMs >= 30_000, "probe at $nowMs ms")
                for (other in hosts) other.onCrash(deadly, endpoint(10 + probes), false, nowMs)
            }
            assertTrue(probes in 1..3, "$probes probes")
        }
    }

    @Nested
    inner class Sharing {
        @Test
        fun `a host that starts later learns of the quarantine`() {
            val nowMs = crash(3)
            history.takeReport(nowMs)
            val lateMs = nowMs + 15_000
            val late = PartCrashHistory(HostId("h2"))
            late.onPeerReport(history.takeReport(lateMs), lateMs)

            assertTrue(late.isQuarantined(deadly, lateMs))
        }

        @Test
        fun `reports that come twice or late count once`() {
            crash(2)
            val reports = history.takeReport(1_100)
            val peer = PartCrashHistory(HostId("h2"))
            for (delayMs in listOf(0L, 200L, 1_200L)) peer.onPeerReport(reports, 1_100 + delayMs)

            assertFalse(peer.isQuarantined(deadly, 2_300))
        }

        /**
         * Guards against a quarantine that ends since another host knows the crashes more exactly.
         */
        @Test
        fun `a more exact time of a crash does not end the quarantine`() {
            val nowMs = crash(3)
            assertTrue(history.isQuarantined(deadly, nowMs))
            val earlier = listOf(PartCrash(endpoint(2), 50, false))
            history.onPeerReport(listOf(SuspectedPart(PromptPartId(66), earlier, null)), nowMs)

            assertTrue(history.isQuarantined(prompt(7, 66, 5), nowMs))
        }

        @Test
        fun `an answer at one host releases the part at the others`() {
            val nowMs = crash(3)
            val peer = PartCrashHistory(HostId("h2"))
            peer.onPeerReport(history.takeReport(nowMs), nowMs)
            assertTrue(peer.isQuarantined(deadly, nowMs))
            peer.onAnswer(deadly, nowMs + 100)
            history.onPeerReport(peer.takeReport(nowMs + 200), nowMs + 200)

            assertFalse(history.isQuarantined(deadly, nowMs + 200))
        }

        /** Guards against a part that is refused until an answer follows the news of its crash. */
        @Test
        fun `an answer between a crash and its news refutes the crash`() {
            val peer = PartCrashHistory(HostId("h2"))
            history.onCrash(deadly, endpoint(1), false, 0)
            val reports = history.takeReport(100)
            peer.onAnswer(deadly, 300)
            val aged = listOf(PartCrash(endpoint(1), 900, false))
            peer.onPeerReport(reports.map { it.copy(crashes = aged) }, 900)

            val refuted = peer.takeReport(900).single { it.part == PromptPartId(66) }
            assertEquals(SuspectedPart(PromptPartId(66), emptyList(), 600), refuted)
        }

        @Test
        fun `a report is bounded`() {
            for (part in 0L until 5_000) history.onCrash(prompt(part, 1), endpoint(1), false, part)

            assertEquals(6, history.takeReport(5_000).size)
        }

        @Test
        fun `a settled state is not repeated in each report`() {
            val nowMs = crash(3)
            history.takeReport(nowMs + 4_000)

            assertEquals(emptyList(), history.takeReport(nowMs + 4_200))
        }
    }
}
