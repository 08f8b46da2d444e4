package cowslipcart.core.node

import cowslipcart.core.claims.AttemptOrigin
import cowslipcart.core.model.Configuration
import cowslipcart.core.model.HostId
import cowslipcart.core.model.IncarnationId
import cowslipcart.core.model.LogOffset
import cowslipcart.core.model.PoolId
import cowslipcart.core.model.PoolKind
import cowslipcart.core.model.PoolSpec
import cowslipcart.core.model.Revision
import cowslipcart.core.orders.MODEL
import cowslipcart.core.orders.OrderResult
import cowslipcart.core.orders.OwnerEntry
import cowslipcart.core.orders.endpoint
import cowslipcart.core.orders.first
import cowslipcart.core.orders.oldState
import cowslipcart.core.orders.second
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import org.junit.jupiter.api.Nested

/** Guards against a host that orders without a record of its own, or for a pool of another host. */
class OrderDeskTest {
    private val self = HostId("a")
    private val process = AttemptOrigin(self, IncarnationId(1))
    private val outbox = Outbox(self) { null }
    private val desk = OrderDesk(process, Random(5), outbox)
    private val log = mutableListOf<OwnerEntry>()
    private val sent = mutableListOf<OrderEffect.SendOrder>()
    private val lines = mutableListOf<OrderLine>()
    private var nowMs = 0L

    private fun configure(owner: HostId) {
        val declarations = listOf(
            PoolSpec(PoolId("drafts"), PoolKind.Model(MODEL), 3),
            endpoint(first),
            endpoint(second)
        )
        val configuration = Configuration(Revision(7), declarations.associateBy { it.key }, null)
        desk.refresh(configuration, emptySet(), { owner }, nowMs)
    }

    private fun runUntil(endMs: Long) {
        while (nowMs < endMs) {
            nowMs += 1_000
            for (id in listOf(first, second)) {
                desk.onInput(OrderInput.DeploymentRead(id, oldState), nowMs)
            }
            desk.tick(nowMs)
            outbox.drain().forEach { perform(it as OrderEffect) }
        }
    }

    private fun perform(effect: OrderEffect) {
        when (effect) {
            is OrderEffect.AppendTakeOver -> {
                log += effect.entry
                val offset = LogOffset(log.size - 1L)
                desk.onInput(OrderInput.TakeOverAppended(effect.entry.shard, offset), nowMs)
            }

            is OrderEffect.ReadOwners -> {
                val entries = log.mapIndexed { index, entry -> LogOffset(index.toLong()) to entry }
                val input = OrderInput.OwnersRead(entries, LogOffset(log.size.toLong()))
                desk.onInput(input, nowMs)
            }

            is OrderEffect.SendOrder -> {
                sent += effect
                val result = OrderResult.Failed("expected status 202, found 409")
                desk.onInput(OrderInput.OrderSent(effect.shard, effect.order.id, result), nowMs)
            }

            is OrderEffect.LogOrder -> lines += effect.line

            is OrderEffect.WatchDeployments -> Unit
        }
    }

    @Nested
    inner class Owner {
        @Test
        fun `the first order comes after the record and carries its offset`() {
            configure(self)
            runUntil(90_000)

            assertEquals(1, log.size)
            assertEquals(LogOffset(0), sent.first().order.fencing.ownerOffset)
            assertEquals(listOf("order", "failed"), lines.take(2).map { it.choice })
        }

        @Test
        fun `the record of another process stops it at its next reading`() {
            configure(self)
            runUntil(90_000)
            val other = AttemptOrigin(HostId("b"), IncarnationId(1))
            log += OwnerEntry.TakeOver(sent.first().shard, other)
            runUntil(92_000)
            val count = sent.size

            runUntil(115_000)

            assertEquals(count, sent.size)
        }

        @Test
        fun `a host that is no longer the owner sends nothing more`() {
            configure(self)
            runUntil(90_000)
            val count = sent.size
            assertTrue(count > 0)
            configure(HostId("b"))

            runUntil(600_000)

            assertEquals(count, sent.size)
        }
    }

    @Nested
    inner class OtherHost {
        @Test
        fun `it neither appends nor orders nor reads`() {
            configure(HostId("b"))
            runUntil(600_000)

            assertEquals(emptyList(), log)
            assertEquals(emptyList(), sent)
        }
    }
}
