package cowslipcart.core.orders

import cowslipcart.core.claims.ProcessId
import cowslipcart.core.model.HostId
import cowslipcart.core.model.IncarnationId
import cowslipcart.core.model.LogOffset
import cowslipcart.core.model.PoolId
import cowslipcart.core.model.ShardId
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue
import org.junit.jupiter.api.Nested

/**
 * Guards against two owners that issue orders with the same fencing number, and against an owner
 * that goes on after it was replaced.
 */
class OwnerTermTest {
    private val shard = ShardId(PoolId("drafts"), 0)
    private val log = mutableListOf<OwnerEntry>()

    /** A host process with its own replica of the shared log. */
    private inner class Host(name: String, startedAtMs: Long = 0) {
        private val process = ProcessId(HostId(name), IncarnationId(1))
        private val replica = createOwnerReplica()
        private val term =
            OwnerTerm(shard, process, replica, Random(name.hashCode()), startedAtMs)
        val offset: LogOffset? get() = term.ownerOffset

        fun read() = log.forEachIndexed { index, entry ->
            replica.apply(LogOffset(index.toLong()), entry)
        }

        /** Appends the record that is due at [nowMs]; returns whether one was due. */
        fun append(nowMs: Long, isAckLost: Boolean = false): Boolean {
            log += term.tick(nowMs) ?: return false
            if (isAckLost) {
                term.onAppendFailed(nowMs)
            } else {
                term.onAppended(LogOffset(log.size - 1L))
            }
            return true
        }
    }

    @Nested
    inner class TakingOver {
        @Test
        fun `a host may issue orders only after it has read its record back`() {
            val host = Host("a")
            assertTrue(host.append(30_000))
            assertNull(host.offset)

            host.read()

            assertEquals(LogOffset(0), host.offset)
        }

        @Test
        fun `a host that just started does not take over yet`() {
            assertEquals(false, Host("a").append(9_999))
        }

        @Test
        fun `a lost acknowledgement leads to a second record, whose offset counts`() {
            val host = Host("a")
            host.append(30_000, isAckLost = true)
            host.read()
            assertNull(host.offset)

            assertTrue(host.append(40_000))
            host.read()

            assertEquals(LogOffset(1), host.offset)
        }
    }

    @Nested
    inner class OwnerChanges {
        @Test
        fun `the offset rises with each change of the owner`() {
            val offsets = List(20) { index ->
                val host = Host("host-${index % 3}", startedAtMs = index * 60_000L)
                host.append((index + 1) * 60_000L)
                host.read()
                assertNotNull(host.offset)
            }

            assertEquals(offsets.sorted().distinct(), offsets)
        }

        @Test
        fun `a restarted owner does not use its old record`() {
            val stopped = Host("a")
            stopped.append(30_000)

            val restarted = Host("a", startedAtMs = 60_000)
            restarted.read()

            assertNull(restarted.offset)
        }

        @Test
        fun `an owner stops when it reads the record of another process`() {
            val old = Host("a")
            old.append(30_000)
            old.read()
            Host("b").append(30_000)

            assertNotNull(old.offset)
            old.read()

            assertNull(old.offset)
        }

        @Test
        fun `an owner that was replaced by mistake takes over again after a while`() {
            val owner = Host("a")
            owner.append(30_000)
            Host("b").append(30_000)
            owner.read()

            assertEquals(false, owner.append(40_000))
            assertEquals(false, owner.append(69_999))
            assertTrue(owner.append(100_000))
            owner.read()

            assertEquals(LogOffset(2), owner.offset)
        }
    }
}
