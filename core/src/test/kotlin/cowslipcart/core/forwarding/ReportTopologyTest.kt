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

    private fun plans(hosts: List<KnownHost>, heard: Set<HostId> = hosts.map { it.id }.toSet()) =
        hosts.associate { self ->
            self.id to ReportTopology(self, hosts - self).plan(heard - self.id)
        }

    @Nested
    inner class FewHosts {
        @Test
        fun `all hosts report to each other and nobody relays`() {
            val plans = plans(hosts(20))
            assertTrue(plans.values.all { it.members.size == 19 && !it.isRelay })
            assertEquals((0..19).toList(), plans.values.map { it.dutyRank }.sorted())
        }
    }

    /** Load pattern: 145 hosts, of which each would send 720 reports a second to all others. */
    @Nested
    inner class ManyHosts {
        private val all = hosts(145)
        private val plans = plans(all)

        @Test
        fun `a host reports to less than 48 others whatever the number of hosts`() {
            for (count in listOf(33, 145, 300, 1_000)) {
                val most = plans(hosts(count)).values.maxOf { it.members.size }
                assertTrue(most < 48, "expected less than 48 members of $count, found $most")
            }
        }

        @Test
        fun `hosts of a group agree on it and on the order of duties`() {
            for ((id, plan) in plans) {
                for (member in plan.members) assertTrue(id in plans.getValue(member).members)
                val ranks = (plan.members + id).map { plans.getValue(it).dutyRank }
                assertEquals(ranks.indices.toList(), ranks.sorted())
            }
        }

        @Test
        fun `figures reach every host over relays`() {
            for ((id, plan) in plans) {
                val relays = (plan.members + id).filter { plans.getValue(it).isRelay }
                val second = relays.flatMap { plans.getValue(it).otherRelays }
                val reached = plan.members + second + second.flatMap { plans.getValue(it).members }
                assertEquals(all.size - 1, (reached - id).size)
            }
        }

        @Test
        fun `the larger hosts take the duties of their groups`() {
            val large = plans.filterKeys { it.value.removePrefix("host-").toInt() <= 6 }
            assertTrue(large.values.all { it.dutyRank <= 1 })
        }

        /** Guards against groups whose relay is dead until the platform's list says so. */
        @Test
        fun `another host relays when a relay falls silent`() {
            val relay = plans.entries.first { it.value.isRelay }.key
            val heard = all.map { it.id }.toSet() - relay
            val next = plans(all, heard)
            val members = plans.getValue(relay).members
            assertEquals(2, members.count { next.getValue(it).isRelay })
            assertFalse(next.filterKeys { it != relay }.values.any { relay in it.otherRelays })
        }
    }

    @Nested
    inner class Endpoints {
        @Test
        fun `every endpoint is left to the hosts of one group`() {
            val all = hosts(145)
            val plans = plans(all)
            for (number in 1..40) {
                val id = EndpointId("e$number")
                val owners = all.filter {
                    ReportTopology(it, all - it).isOwn(id, "domain-1")
                }
                val group = owners.first().id
                val expected = plans.getValue(group).members + group
                assertEquals(expected, owners.map { it.id }.toSet())
            }
        }

        @Test
        fun `few hosts share all endpoints`() {
            val all = hosts(20)
            assertTrue(ReportTopology(all.first(), all.drop(1)).isOwn(EndpointId("e"), "other"))
        }
    }
}
