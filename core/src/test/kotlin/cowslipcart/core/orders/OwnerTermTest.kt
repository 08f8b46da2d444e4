package cowslipcart.core.orders

import cowslipcart.core.claims.AttemptOrigin
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

/** Guards against two processes that order with the same number, or an owner that never stops. */
class OwnerTermTest {
    private val shard = ShardId(PoolId("drafts"), 0)
    private val log = mutableListOf<OwnerEntry>()

    /** A host process with its own replay of the shared log. */
    private inner class Host(name: String, startedAtMs: Long = 0) {
        private val process = AttemptOrigin(HostId(name), IncarnationId(1))
        private val stream = createOwnerStream()
        private val term =
            OwnerTerm(shard, process, stream, Random(name.hashCode()), startedAtMs)
        val offset: LogOffset? get() = term.ownerOffset

        fun read() = log.forEachIndexed { index, entry ->
            stream.apply(LogOffset(index.toLong()), entry)
        }

        /** Returns whether the host wanted to append at [nowMs]. */
        fun append(nowMs: Long, isAnswerLost: Boolean = false): Boolean {
            log += term.tick(nowMs) ?: return false
            if (isAnswerLost) {
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
        fun `a host orders only after it has read its record back`() {
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
        fun `a lost answer leads to a second record and the number of the later one`() {
            val host = Host("a")
            host.append(30_000, isAnswerLost = true)
            host.read()
            assertNull(host.offset)

            assertTrue(host.append(40_000))
            host.read()

            assertEquals(LogOffset(1), host.offset)
        }
    }

    @Nested
    inner class Changes {
        @Test
        fun `the number rises with each change of the owner`() {
            val numbers = List(20) { index ->
                val host = Host("host-${index % 3}", startedAtMs = index * 60_000L)
                host.append((index + 1) * 60_000L)
                host.read()
                assertNotNull(host.offset)
            }

            assertEquals(numbers.sorted().distinct(), numbers)
        }

        @Test
        fun `a host that owned before does not use its old record`() {
            val before = Host("a")
            before.append(30_000)

            val again = Host("a", startedAtMs = 60_000)
            again.read()

            assertNull(again.offset)
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
