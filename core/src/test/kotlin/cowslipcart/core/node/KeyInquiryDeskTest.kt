package cowslipcart.core.node

import cowslipcart.core.claims.RequestKey
import cowslipcart.core.membership.HostIdentity
import cowslipcart.core.membership.HostList
import cowslipcart.core.membership.ListedHost
import cowslipcart.core.membership.createMembershipView
import cowslipcart.core.model.DomainId
import cowslipcart.core.model.HostId
import cowslipcart.core.model.IncarnationId
import cowslipcart.core.model.OrganisationId
import cowslipcart.core.model.RequestId
import cowslipcart.core.origin.KeyStanding
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import org.junit.jupiter.api.Nested

/** Guards against the answer "not run" for a key that a host which was not asked may have run. */
class KeyInquiryDeskTest {
    private val self = HostId("a")
    private val identity = HostIdentity(self, IncarnationId(1), DomainId("d"), "127.0.0.1:1")
    private val membership = createMembershipView(identity, Random(1))
    private val outbox = Outbox(self) { "127.0.0.1:2" }
    private val desk = KeyInquiryDesk(self, membership, outbox)
    private val id = RequestId("r")
    private val freshKey = RequestKey(OrganisationId("org"), "k", keyTimeMs = 100_000)

    init {
        desk.onTick(wallNowMs = 50_000)
    }

    @Nested
    inner class ListedHosts {
        @Test
        fun `a host that is not listed itself concludes nothing`() {
            assertEquals(KeyStanding.UNKNOWN, desk.begin(id, freshKey, KeyStanding.UNSEEN))
        }

        @Test
        fun `a listed host that was never reached is waited for`() {
            list("a", "b")

            assertNull(desk.begin(id, freshKey, KeyStanding.UNSEEN))
            assertEquals(
                KeyStanding.UNSEEN,
                desk.onReply(HostId("b"), id, KeyStanding.UNSEEN)
            )
        }

        @Test
        fun `the only host of the list decides alone`() {
            list("a")

            assertEquals(KeyStanding.UNSEEN, desk.begin(id, freshKey, KeyStanding.UNSEEN))
        }
    }

    @Nested
    inner class DeadHosts {
        @Test
        fun `a key older than a death may have run there`() {
            list("a")
            desk.onTick(wallNowMs = 120_000)
            desk.onHostDied(HostId("b"))

            assertEquals(KeyStanding.UNKNOWN, desk.begin(id, freshKey, KeyStanding.UNSEEN))
        }

        @Test
        fun `a key older than this process may have run in its predecessor`() {
            list("a")
            val oldKey = freshKey.copy(keyTimeMs = 49_000)

            assertEquals(KeyStanding.UNKNOWN, desk.begin(id, oldKey, KeyStanding.UNSEEN))
        }
    }

    private fun list(vararg hosts: String) = desk.onHostList(
        HostList(hosts.map { ListedHost(HostId(it), "127.0.0.1:1", false) }, emptySet())
    )
}
