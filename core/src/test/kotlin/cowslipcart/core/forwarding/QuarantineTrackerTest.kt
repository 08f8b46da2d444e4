package cowslipcart.core.forwarding

import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.Fingerprint
import cowslipcart.core.model.HostId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import org.junit.jupiter.api.Nested

/** Guards against a harmless request that is refused for good, and a deadly one that runs often. */
class QuarantineTrackerTest {
    private val tracker = QuarantineTracker(HostId("h1"))
    private val peer = QuarantineTracker(HostId("h2"))
    private val request = Fingerprint("f")

    private fun endpoint(number: Int) = EndpointId("e$number")

    /** Loses the connections of [count] endpoints, one a second from [fromMs]. */
    private fun crash(count: Int, fromMs: Long = 0, on: QuarantineTracker = tracker) =
        repeat(count) { on.onOwnCrash(request, endpoint(it), fromMs + it * 1_000L) }

    private fun report(
        nowMs: Long,
        from: QuarantineTracker = tracker,
        to: QuarantineTracker = peer
    ) = to.onPeerNotices(HostId("h1"), from.crashNotices, from.answerNotices(nowMs), nowMs)

    /** Returns the first time from [fromMs] on at which [on] lets the request through. */
    private fun releasedAtMs(fromMs: Long, on: QuarantineTracker = tracker): Long =
        (fromMs..fromMs + 1_000_000 step 10).first { !on.isQuarantined(request, it) }

    @Nested
    inner class Lapse {
        /** Guards against a resource that is refused after the endpoints are sound again. */
        @Test
        fun `each host lets a request through within ten seconds without a crash`() {
            for (number in 1..200) {
                val host = QuarantineTracker(HostId("host-$number"))
                crash(3, on = host)
                assertTrue(host.isQuarantined(request, 6_900))
                assertFalse(host.isQuarantined(request, 12_000))
            }
        }

        @Test
        fun `other requests wait for the answer to the probe`() {
            crash(3)
            val probedAtMs = releasedAtMs(2_000)
            tracker.onDispatched(request, probedAtMs)
            assertTrue(tracker.isQuarantined(request, probedAtMs + 1))

            tracker.onOwnAnswer(request, probedAtMs + 2)
            assertFalse(tracker.isQuarantined(request, probedAtMs + 2))
        }

        /** The rules of the platform allow three retries after the third crash, without an end. */
        @Test
        fun `a request that always crashes is probed three times in an hour at most`() {
            crash(3)
            var probes = 0
            for (nowMs in 2_100L..3_600_000L step 100) {
                if (tracker.isQuarantined(request, nowMs)) continue
                tracker.onDispatched(request, nowMs)
                probes++
                tracker.onOwnCrash(request, endpoint(0), nowMs)
            }
            assertTrue(probes in 1..3, "$probes")
        }
    }

    @Nested
    inner class Suspicion {
        /** Guards against single resets of one resource that add up over hours. */
        @Test
        fun `crashes with minutes between them quarantine nothing`() {
            repeat(10) { tracker.onOwnCrash(request, endpoint(it), it * 60_000L) }

            assertFalse(tracker.isQuarantined(request, 540_000))
        }

        /** Guards against a flood of resets that pushes out the request that crashes endpoints. */
        @Test
        fun `a quarantine outlasts the suspicion of many other requests`() {
            crash(3)
            repeat(5_000) { tracker.onOwnCrash(Fingerprint("g$it"), endpoint(it), 2_500) }

            assertTrue(tracker.isQuarantined(request, 3_000))
        }
    }

    @Nested
    inner class Peers {
        @Test
        fun `notices of another host are counted once`() {
            crash(2)
            repeat(3) { report(1_000) }
            assertFalse(peer.isQuarantined(request, 1_000))

            tracker.onOwnCrash(request, endpoint(2), 2_000)
            report(2_100)
            assertTrue(peer.isQuarantined(request, 2_100))
        }

        /** Guards against a resource that one host serves and all others refuse. */
        @Test
        fun `an answer at another host ends the quarantine`() {
            crash(3)
            report(2_100)
            tracker.onOwnAnswer(request, 2_200)
            report(2_300)

            assertFalse(peer.isQuarantined(request, 2_300))
        }

        @Test
        fun `a repeated notice of an answer does not end a later quarantine`() {
            crash(1)
            tracker.onOwnAnswer(request, 900)
            report(1_000)
            crash(3, fromMs = 1_100, on = peer)
            report(3_200)

            assertTrue(peer.isQuarantined(request, 3_200))
        }

        @Test
        fun `notices of a host that restarted are counted from 1 again`() {
            crash(3)
            report(2_100)
            val restarted = QuarantineTracker(HostId("h1"))
            peer.onPeerRestarted(HostId("h1"))
            crash(1, fromMs = 3_000, on = restarted)
            restarted.onOwnAnswer(request, 3_100)
            report(3_200, from = restarted)

            assertFalse(peer.isQuarantined(request, 3_200))
        }
    }

    @Nested
    inner class Changes {
        @Test
        fun `the log tells why a request is quarantined, probed or released`() {
            crash(3)
            val probedAtMs = releasedAtMs(2_000)
            tracker.onDispatched(request, probedAtMs)
            tracker.onOwnAnswer(request, probedAtMs)

            assertEquals(
                listOf("request-quarantined", "request-probed", "request-released"),
                tracker.takeChanges().map { it.change }
            )
        }
    }
}
