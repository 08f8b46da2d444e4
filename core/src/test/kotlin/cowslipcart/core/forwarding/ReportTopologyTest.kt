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
            assertTrue(plans.values.all { it.members.size == 19 && !it.isRelay })
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

        @Test
        fun `reports reach every host through relays`() {
            for ((id, plan) in plans) {
                val relays = (plan.members + id).filter { plans.getValue(it).isRelay }
                val second = relays.flatMap { plans.getValue(it).otherRelays }
                val reached = plan.members + second + second.flatMap { plans.getValue(it).members }
                assertEquals(all.size - 1, (reached - id).size)
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
            val relay = plans.entries.first { it.value.isRelay }.key
            val live = all.map { it.id }.toSet() - relay
            val next = plans(all, live)
            val members = plans.getValue(relay).members
            assertEquals(2, members.count { next.getValue(it).isRelay })
            assertFalse(next.filterKeys { it != relay }.values.any { relay in it.otherRelays })
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
}
