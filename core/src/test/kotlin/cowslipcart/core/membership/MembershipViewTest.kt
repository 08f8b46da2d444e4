package cowslipcart.core.membership

import cowslipcart.core.model.DomainId
import cowslipcart.core.model.HostId
import cowslipcart.core.model.IncarnationId
import cowslipcart.core.model.LogOffset
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertIs
import org.junit.jupiter.api.Nested

/** Guards against wrong state transitions of a single view. */
class MembershipViewTest {
    private val self = identity("h0", 1)
    private val peer = identity("h1", 2)
    private val view = createMembershipView(self, Random(1))

    private fun identity(host: String, incarnation: Long) =
        HostIdentity(HostId(host), IncarnationId(incarnation), DomainId("d"), "127.0.0.1:90")

    private fun ping(from: HostIdentity, count: Long = 0, vararg rumors: Rumor) =
        PingContent(from, pingNumber = 0, HostState.LIVE, count, LogOffset(3), rumors.toList())

    private fun answerTo(from: HostIdentity, count: Long = 0, vararg rumors: Rumor): PingContent =
        view.onPing(ping(from, count, *rumors), nowMs = 0)
            .filterIsInstance<MembershipEffect.SendPingAck>().single().ack

    private fun list(vararg hosts: HostIdentity) = HostList(
        hosts.map { ListedHost(it.host, it.peerAddress, isLeaving = false) },
        emptySet()
    )

    @Nested
    inner class Candidates {
        @Test
        fun `a listed host that never answered owns nothing`() {
            view.onHostList(list(peer), nowMs = 0)
            assertEquals(setOf(self.host), view.ownerCandidates)
        }

        @Test
        fun `a host is an owner from its first ping on`() {
            assertContains(view.onPing(ping(peer), 0), MembershipEffect.OwnersChanged)
            assertEquals(setOf(self.host, peer.host), view.ownerCandidates)
        }

        @Test
        fun `a host that the list drops stays live`() {
            view.onPing(ping(peer), 0)
            view.onHostList(list(), 0)
            assertContains(view.ownerCandidates, peer.host)
        }

        @Test
        fun `a host that is listed as leaving owns nothing`() {
            view.onPing(ping(peer), 0)
            val leaving = ListedHost(peer.host, peer.peerAddress, isLeaving = true)
            view.onHostList(HostList(listOf(leaving), emptySet()), 0)
            assertEquals(setOf(self.host), view.ownerCandidates)
        }

        @Test
        fun `a rumor alone adds no host, but makes this host ping it`() {
            val rumor = Rumor.Host(identity("h2", 3), HostState.LIVE, 0)
            view.onPing(ping(peer, 0, rumor), 0)
            assertFalse(HostId("h2") in view.ownerCandidates)
            val pings = view.tick(LogOffset(0), 0).filterIsInstance<MembershipEffect.SendPing>()
            assertContains(pings.map { it.to }, HostId("h2"))
        }
    }

    @Nested
    inner class Restart {
        private val successor = identity("h1", 9)

        private fun pingsTo(host: HostIdentity) = view.onPing(ping(host), 0)
            .filterIsInstance<MembershipEffect.SendPing>().map { it.ping.pingNumber }

        @Test
        fun `reports the replaced incarnation as dead`() {
            view.onPing(ping(peer), 0)
            val answer = ping(successor).copy(pingNumber = pingsTo(successor).single())
            assertContains(view.onPingAck(answer, 0), MembershipEffect.HostDied(peer))
            assertEquals(successor, view.liveHosts[peer.host])
        }

        @Test
        fun `a delayed ping changes nothing`() {
            view.onPing(ping(successor), 0)
            assertEquals(1, pingsTo(peer).size)
            assertEquals(successor, view.liveHosts[peer.host])
        }

        @Test
        fun `a delayed answer changes nothing`() {
            view.onPing(ping(successor), 0)
            val delayed = ping(peer).copy(pingNumber = pingsTo(peer).single())
            pingsTo(peer)
            view.onPingAck(delayed, 0)
            assertEquals(successor, view.liveHosts[peer.host])
        }
    }

    @Nested
    inner class Rumors {
        @Test
        fun `a host refutes a rumor of its own death with a higher count`() {
            val answer = answerTo(peer, 0, Rumor.Host(self, HostState.DEAD, 4))
            assertEquals(HostState.LIVE, answer.state)
            assertEquals(5, answer.refutationCount)
        }

        @Test
        fun `a rumor about an earlier incarnation is not refuted`() {
            val rumor = Rumor.Host(identity("h0", 7), HostState.DEAD, 4)
            assertEquals(0, answerTo(peer, 0, rumor).refutationCount)
        }

        @Test
        fun `a host that is seen as dead gets that rumor first`() {
            view.onPing(ping(peer), 0)
            val death = Rumor.Host(peer, HostState.DEAD, 0)
            view.onPing(ping(identity("h2", 3), 0, death), 0)
            assertEquals(death, assertIs<Rumor.Host>(answerTo(peer).rumors.first()))
        }

        @Test
        fun `a dead host is live again only with a higher count`() {
            view.onPing(ping(peer), 0)
            view.onPing(ping(identity("h2", 3), 0, Rumor.Host(peer, HostState.DEAD, 0)), 0)
            view.onPing(ping(peer), 0)
            assertFalse(peer.host in view.liveHosts)
            view.onPing(ping(peer, 1), 0)
            assertContains(view.liveHosts, peer.host)
        }

        @Test
        fun `at most eight rumors go out, the least-sent first`() {
            repeat(20) { view.onPing(ping(identity("p$it", it + 10L)), 0) }
            val sent = List(20) { answerTo(peer).rumors.map { (it as Rumor.Host).identity.host } }
            assertEquals(8, sent.maxOf { it.size })
            assertEquals(20, sent.flatten().toSet().size)
            view.onPing(ping(identity("p3", 13), count = 1), 0)
            assertEquals(HostId("p3"), (answerTo(peer).rumors.first() as Rumor.Host).identity.host)
        }
    }

    @Nested
    inner class Silence {
        private fun tickWithoutAnswers(fromMs: Long, untilMs: Long) = (fromMs..untilMs step 100)
            .flatMap { view.tick(LogOffset(0), it) }

        @Test
        fun `a silent host is dead after 4 s and not before`() {
            view.onPing(ping(peer), 0)
            assertFalse(MembershipEffect.HostDied(peer) in tickWithoutAnswers(0, 3_900))
            assertContains(tickWithoutAnswers(4_000, 4_100), MembershipEffect.HostDied(peer))
        }

        @Test
        fun `an answer relayed by another host counts`() {
            view.onPing(ping(peer), 0)
            tickWithoutAnswers(0, 3_900)
            view.onPingAck(ping(peer), 3_900)
            assertFalse(MembershipEffect.HostDied(peer) in tickWithoutAnswers(4_000, 4_100))
        }

        @Test
        fun `a host that was paused itself declares nobody dead`() {
            view.onPing(ping(peer), 0)
            tickWithoutAnswers(0, 2_500)
            assertFalse(MembershipEffect.HostDied(peer) in view.tick(LogOffset(0), 60_000))
        }
    }

    @Test
    fun `reports the highest configuration offset of its peers`() {
        view.onPing(ping(peer), 0)
        assertEquals(LogOffset(3), view.highestConfigOffset)
    }
}
