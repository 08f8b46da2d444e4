package cowslipcart.core.forwarding

import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.HostId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import org.junit.jupiter.api.Nested

class ReportTopologyTest {
    private fun hosts(count: Int) = (1..count).map {
        KnownHost(HostId("host-$it"), HostProfile("domain-${it % 3}", if (it > 6) 0.25 else 1.5))
    }

    private fun plans(hosts: List<KnownHost>, live: Set<HostId> = hosts.map { it.id }.toSet()) =
        hosts.associate { self ->
            self.id to ReportTopology(self, hosts - self).plan(live - self.id)
        }

    @Nested
    inner class FewHosts {
        @Test
        fun `all hosts report to each other and none relays`() {
            val plans = plans(hosts(20))
            assertTrue(plans.values.all { it.members.size == 19 && it.relays.isEmpty() })
            assertEquals((0..19).toList(), plans.values.map { it.groupRank }.sorted())
        }
    }

    /** Load pattern: 145 hosts, each of which would send 720 reports a second without groups. */
    @Nested
    inner class ManyHosts {
        private val all = hosts(145)
        private val plans = plans(all)

        @Test
        fun `a host reports to less than 48 others whatever the number of hosts`() {
            for (count in listOf(33, 145, 300, 1_000)) {
                val largest = plans(hosts(count)).values.maxOf { it.members.size }
                assertTrue(largest < 48, "expected less than 48 members of $count, found $largest")
            }
        }

        @Test
        fun `hosts of a group agree on its members and their ranks`() {
            for ((id, plan) in plans) {
                for (member in plan.members) assertTrue(id in plans.getValue(member).members)
                val ranks = (plan.members + id).map { plans.getValue(it).groupRank }
                assertEquals(ranks.indices.toList(), ranks.sorted())
            }
        }

        private fun reached(id: HostId, plans: Map<HostId, ReportPlan>): Set<HostId> {
            val plan = plans.getValue(id)
            return plan.members + plan.relays + plan.relays.flatMap { plans.getValue(it).members }
        }

        @Test
        fun `reports reach every host through one relay`() {
            for (id in plans.keys) {
                assertEquals(plans.keys, reached(id, plans) + id)
            }
        }

        /** Guards against relays whose links are full of reports, so that requests are delayed. */
        @Test
        fun `no small host forwards more reports than a quarter of its link carries`() {
            for (small in all.filter { it.profile.capacityCores < 1.0 }) {
                val origins = plans.values.count { small.id in it.relays }
                val bytesPerS =
                    origins * plans.getValue(small.id).members.size * REPORT_BYTES / INTERVAL_S
                val share = bytesPerS / SMALL_LINK_BYTES_PER_S
                assertTrue(share <= 0.25, "expected at most 0.25 of the link, found $share")
            }
        }

        @Test
        fun `the largest hosts rank first in their groups`() {
            val large = plans.filterKeys { it.value.removePrefix("host-").toInt() <= 6 }
            assertTrue(large.values.all { it.groupRank <= 1 })
        }

        /** Guards against a group that has no live relay until the platform's list is updated. */
        @Test
        fun `another host relays when a relay falls silent`() {
            val relay = plans.values.first().relays.first()
            val next = plans(all, all.map { it.id }.toSet() - relay)
            assertTrue(plans.any { relay in it.value.relays })
            for (id in plans.keys - relay) {
                assertFalse(relay in next.getValue(id).relays)
                assertEquals(plans.keys, reached(id, next) + id)
            }
        }
    }

    @Nested
    inner class Departures {
        /** 49 hosts of a domain form three groups, 48 form two. */
        private val all = (1..145).map {
            val domain = if (it <= 49) {
                "a"
            } else if (it <= 97) {
                "b"
            } else {
                "c"
            }
            KnownHost(HostId("host-$it"), HostProfile(domain, 0.25))
        }
        private val left = all.first()
        private val stayed = all - left

        /**
         * Guards against hosts that stop hearing each other, since one learned of a departure late.
         */
        @Test
        fun `a host that knows of a departure is in the same group as one that does not`() {
            val live = stayed.map { it.id }.toSet()
            for (self in stayed) {
                val late = ReportTopology(self, all - self).plan(live - self.id)
                val informed = ReportTopology(
                    self,
                    stayed - self,
                    listOf(left)
                ).plan(live - self.id)
                assertEquals(late.members - left.id, informed.members)
                assertEquals(late.relays, informed.relays)
            }
        }
    }

    @Nested
    inner class Endpoints {
        @Test
        fun `every endpoint is assigned to one group`() {
            val all = hosts(145)
            val plans = plans(all)
            for (number in 1..40) {
                val id = EndpointId("e$number")
                val owners = all.filter {
                    ReportTopology(it, all - it).isAssigned(id, "domain-1")
                }
                val group = owners.first().id
                val expected = plans.getValue(group).members + group
                assertEquals(expected, owners.map { it.id }.toSet())
            }
        }

        @Test
        fun `with a single group all endpoints are assigned to it`() {
            val all = hosts(20)
            assertTrue(
                ReportTopology(all.first(), all.drop(1)).isAssigned(EndpointId("e"), "other")
            )
        }
    }

    private companion object {
        /** A report with the units of 16 organisations and the parts of several prompts. */
        const val REPORT_BYTES = 900.0

        /** The smallest link of the grown deployments, 7 Mbit/s. */
        const val SMALL_LINK_BYTES_PER_S = 875_000.0

        /** Interval at which a relay forwards reports, in s. */
        const val INTERVAL_S = 1.0
    }
}
