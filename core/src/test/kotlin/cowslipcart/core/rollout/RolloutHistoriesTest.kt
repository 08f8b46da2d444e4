package cowslipcart.core.rollout

import cowslipcart.core.model.HostId
import cowslipcart.core.model.VersionId
import cowslipcart.core.rollout.RolloutFleet.Companion.NEW
import cowslipcart.core.rollout.RolloutFleet.Companion.OLD
import cowslipcart.core.rollout.RolloutFleet.Companion.ORDER_MS
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import org.junit.jupiter.api.Nested

class RolloutHistoriesTest {
    private val bounds = RolloutBounds()

    private fun RolloutFleet.finalStep(): RolloutStep? =
        store.records.lastOrNull()?.second?.step?.takeIf { it.isFinal }

    private fun RolloutFleet.finalAtMs(): Long = store.records.last().first

    /** Plays to the deadline of the order and some seconds beyond. */
    private fun RolloutFleet.play(): RolloutFleet {
        at(ORDER_MS) { order() }
        runUntil(ORDER_MS + durationMs + 8_000)
        return this
    }

    /** What holds in every history, whatever the version and the faults are. */
    private fun checkAlways(fleet: RolloutFleet, name: String) {
        checkRecords(fleet, name)
        checkExposure(fleet, name)
        checkAfterEnd(fleet, name)
    }

    private fun checkRecords(fleet: RolloutFleet, name: String) {
        val byOrder = fleet.store.records.map { it.second }.groupBy { it.order }
        for ((order, records) in byOrder) {
            val ranks = records.map { it.step.rank }
            assertEquals(ranks.sorted(), ranks, "$name order $order: $records")
            assertTrue(records.count { it.step.isFinal } <= 1, "$name order $order: $records")
        }
    }

    /** Before the first step the share holds at every moment, with no use of the slack. */
    private fun checkExposure(fleet: RolloutFleet, name: String) {
        val shiftedAtMs = fleet.store.records
            .firstOrNull { it.second.step.rank > 0 }?.first ?: Long.MAX_VALUE
        var all = 0
        var new = 0
        for (request in fleet.sent.filter { it.atMs in ORDER_MS..shiftedAtMs }) {
            all++
            if (request.version == NEW) new++
            assertTrue(new <= all * bounds.exposureShare, "$name: $new of $all")
        }
    }

    /** Hosts in touch send nothing to the version that has lost, once they had time to learn it. */
    private fun checkAfterEnd(fleet: RolloutFleet, name: String) {
        val step = fleet.finalStep() ?: return
        val lost = if (step == RolloutStep.Complete) OLD else NEW
        val boundMs = fleet.finalAtMs() + bounds.rollbackMs
        val late = fleet.sent.filter {
            it.version == lost && it.atMs > boundMs &&
                it.atMs > (fleet.troubled[it.host] ?: 0) + bounds.rollbackMs
        }
        assertTrue(late.isEmpty(), "$name: ${late.size} after $step")
    }

    /** The bound on a bad version: by share, and by time after its 50th bad answer. */
    private fun checkBadVersion(fleet: RolloutFleet, name: String) {
        val endMs = ORDER_MS + fleet.durationMs
        val all = fleet.sent.filter { it.atMs in ORDER_MS..endMs }
        val new = all.filter { it.version == NEW }
        val most = all.size * bounds.exposureShare + bounds.exposureSlack
        assertTrue(new.size <= most, "$name: ${new.size} of ${all.size}")
        val bad = new.filter { it.isBad }.map { it.endsAtMs }.sorted()
        val stopAtMs = (bad.getOrNull(49) ?: return) + bounds.rollbackMs
        val late = new.count {
            it.atMs > stopAtMs && it.atMs > (fleet.troubled[it.host] ?: 0) + bounds.rollbackMs
        }
        assertEquals(0, late, "$name: requests after the bound")
    }

    @Nested
    inner class Calm {
        /** Guards against a good version that misses its deadline or is taken back. */
        @Test
        fun `a good version is complete well before its deadline`() {
            for (seed in 1..HISTORIES) {
                val fleet = RolloutFleet(seed, VersionFault.NONE).play()
                checkAlways(fleet, "seed $seed")
                assertEquals(RolloutStep.Complete, fleet.finalStep(), "seed $seed")
                val tookMs = fleet.finalAtMs() - ORDER_MS
                assertTrue(tookMs <= fleet.durationMs * 9 / 10, "seed $seed: $tookMs")
                // Endpoints of the earlier version stop at once, so they may have no requests.
                val cut = fleet.sent.count {
                    it.version == OLD && it.endsAtMs > fleet.finalAtMs() &&
                        it.atMs <= fleet.finalAtMs()
                }
                assertEquals(0, cut, "seed $seed: requests cut off")
            }
        }

        /** Guards against faults that show only later, in part, or under load. */
        @Test
        fun `a bad version is rolled back within its bounds`() {
            for (fault in VersionFault.entries - VersionFault.NONE) {
                for (seed in 1..HISTORIES) {
                    val fleet = RolloutFleet(seed, fault).play()
                    checkAlways(fleet, "$fault seed $seed")
                    assertEquals(RolloutStep.RolledBack, fleet.finalStep(), "$fault seed $seed")
                    checkBadVersion(fleet, "$fault seed $seed")
                }
            }
        }
    }

    @Nested
    inner class Disturbed {
        private fun RolloutFleet.disturb(random: Random) {
            repeat(random.nextInt(1, 5)) {
                val host = hostIds.random(random)
                val atMs = ORDER_MS + random.nextLong(durationMs - 10_000)
                val forMs = 500 + random.nextLong(5_000)
                when (random.nextInt(6)) {
                    0 -> at(atMs) { kill(host) }
                    1 -> at(atMs) { freeze(host, forMs) }
                    2 -> at(atMs) { cut(host, forMs) }
                    3 -> at(atMs) { cut(host, forMs, fromPeers = false) }
                    4 -> at(atMs) { storeDown(forMs) }
                    5 -> at(atMs) { lastWriter?.let { kill(it) } }
                }
            }
        }

        /** Guards against a second final state, a step back, and exposure by stale knowledge. */
        @Test
        fun `records and bounds hold whatever fails`() {
            for (seed in 1..HISTORIES * 4) {
                val faults = VersionFault.entries
                val fault = faults[seed % faults.size]
                val fleet = RolloutFleet(seed, fault)
                fleet.disturb(Random(seed))
                fleet.play()
                checkAlways(fleet, "$fault seed $seed")
                if (fault != VersionFault.NONE) checkBadVersion(fleet, "$fault seed $seed")
            }
        }
    }

    @Nested
    inner class Faults {
        private val fleet = RolloutFleet(1, VersionFault.NONE)

        private fun checkCompletes() {
            fleet.play()
            checkAlways(fleet, "fault")
            assertEquals(RolloutStep.Complete, fleet.finalStep())
        }

        /** The host that writes each record is killed right after it. */
        @Test
        fun `the writer of each step is killed`() {
            fleet.onWrite = { record ->
                if (!record.step.isFinal) fleet.at(fleet.nowMs + 1) { fleet.kill(record.writer) }
            }
            checkCompletes()
        }

        @Test
        fun `the writer freezes after each step and wakes later`() {
            fleet.onWrite = { record ->
                if (!record.step.isFinal) {
                    fleet.at(fleet.nowMs + 1) { fleet.freeze(record.writer, 3_000) }
                }
            }
            checkCompletes()
        }

        @Test
        fun `a host is killed right after the order`() {
            fleet.at(ORDER_MS + 100) { fleet.kill(HostId("host-1")) }
            checkCompletes()
        }

        /** Guards against a moved pool that nobody completes. */
        @Test
        fun `all hosts lose power right before complete`() {
            fleet.onWrite = { record ->
                if (record.step == RolloutStep.Moved) {
                    fleet.at(fleet.nowMs + 1_000) { fleet.hostIds.forEach { fleet.kill(it) } }
                }
            }
            checkCompletes()
        }

        /** Guards against a host that goes on sending to a version by an old permission. */
        @Test
        fun `a host that is cut off while traffic shifts goes back`() {
            val cut = HostId("host-2")
            var cutAtMs = Long.MAX_VALUE
            fleet.onWrite = { record ->
                if (record.step == RolloutStep.Shifting(50)) {
                    cutAtMs = fleet.nowMs
                    fleet.cut(cut, 60_000)
                }
            }
            fleet.play()
            checkRecords(fleet, "cut")
            val late = fleet.sent.count {
                it.host == cut && it.version == NEW && it.atMs > cutAtMs + bounds.rollbackMs
            }
            assertTrue(cutAtMs < Long.MAX_VALUE)
            assertEquals(0, late)
            assertEquals(RolloutStep.Complete, fleet.finalStep())
        }

        @Test
        fun `an outage of the store delays the steps only`() {
            fleet.at(ORDER_MS + 15_000) { fleet.storeDown(5_000) }
            checkCompletes()
        }
    }

    @Nested
    inner class Orders {
        /** Guards against an order that never ends. */
        @Test
        fun `a version that never starts is rolled back by the deadline`() {
            val fleet = RolloutFleet(1, VersionFault.NONE)
            fleet.at(ORDER_MS) { fleet.order(doesStart = false) }
            fleet.runUntil(ORDER_MS + fleet.durationMs)

            assertEquals(RolloutStep.RolledBack, fleet.finalStep())
        }

        /** Guards against a final state of the earlier order that ends the later one. */
        @Test
        fun `a later order replaces an earlier one`() {
            val fleet = RolloutFleet(1, VersionFault.NONE)
            val third = VersionId("v3")
            fleet.at(ORDER_MS) { fleet.order() }
            fleet.at(ORDER_MS + 15_000) { fleet.order(third) }
            fleet.runUntil(ORDER_MS + 15_000 + fleet.durationMs)

            checkRecords(fleet, "replaced")
            val last = fleet.store.records.last().second
            assertEquals(third, last.to)
            assertEquals(RolloutStep.Complete, last.step)
            assertEquals(setOf(OLD), last.from)
            val toNew = fleet.sent.count {
                it.version == NEW && it.atMs > ORDER_MS + 15_000 + bounds.rollbackMs
            }
            assertEquals(0, toNew)
        }

        /** Guards against an abort that waits for evidence on the version in service. */
        @Test
        fun `an order for the version in service ends the move at once`() {
            val fleet = RolloutFleet(1, VersionFault.NONE)
            fleet.at(ORDER_MS) { fleet.order() }
            fleet.at(ORDER_MS + 15_000) { fleet.order(OLD, doesStart = false) }
            fleet.runUntil(ORDER_MS + 15_000 + fleet.durationMs / 2)

            val last = fleet.store.records.last().second
            assertEquals(OLD, last.to)
            assertEquals(RolloutStep.Complete, last.step)
        }
    }

    private companion object {
        const val HISTORIES = 100
    }
}
