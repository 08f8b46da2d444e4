package cowslipcart.core.host

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
import cowslipcart.core.origin.KeyStatus
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import org.junit.jupiter.api.Nested

/** Guards against the answer "not run" for a key that a host which was not asked may have run. */
class KeyQueryTrackerTest {
    private val self = HostId("a")
    private val identity = HostIdentity(self, IncarnationId(1), DomainId("d"), "127.0.0.1:1")
    private val membership = createMembershipView(identity, Random(1))
    private val outbox = Outbox(self) { "127.0.0.1:2" }
    private val tracker = KeyQueryTracker(self, membership, outbox)
    private val requestId = RequestId("r")
    private val freshKey = RequestKey(OrganisationId("org"), "k", keyTimeMs = 100_000)

    init {
        tracker.onTick(wallNowMs = 50_000)
    }

    @Nested
    inner class ListedHosts {
        @Test
        fun `a host that is not listed itself answers unknown`() {
            assertEquals(
                KeyStatus.UNKNOWN,
                tracker.start(requestId, freshKey, KeyStatus.UNSEEN)
            )
        }

        @Test
        fun `the query waits for a listed host that was never reached`() {
            listHosts("a", "b")

            assertNull(tracker.start(requestId, freshKey, KeyStatus.UNSEEN))
            assertEquals(
                KeyStatus.UNSEEN,
                tracker.onReply(HostId("b"), requestId, KeyStatus.UNSEEN)
            )
        }

        @Test
        fun `the only listed host answers without a query`() {
            listHosts("a")

            assertEquals(KeyStatus.UNSEEN, tracker.start(requestId, freshKey, KeyStatus.UNSEEN))
        }
    }

    @Nested
    inner class DeadHosts {
        @Test
        fun `a key older than a death may have run there`() {
            listHosts("a")
            tracker.onTick(wallNowMs = 120_000)
            tracker.onHostDied(HostId("b"))

            assertEquals(
                KeyStatus.UNKNOWN,
                tracker.start(requestId, freshKey, KeyStatus.UNSEEN)
            )
        }

        @Test
        fun `a key older than this process may have run in its predecessor`() {
            listHosts("a")
            val oldKey = freshKey.copy(keyTimeMs = 49_000)

            assertEquals(KeyStatus.UNKNOWN, tracker.start(requestId, oldKey, KeyStatus.UNSEEN))
        }
    }

    private fun listHosts(vararg hosts: String) = tracker.onHostList(
        HostList(hosts.map { ListedHost(HostId(it), "127.0.0.1:1", false) }, emptySet())
    )
}
