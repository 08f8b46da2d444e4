package cowslipcart.core.host

import cowslipcart.core.claims.ProcessId
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

/**
 * Guards against a host that issues orders before its own take-over is in the log, or for a pool
 * that another host owns.
 */
class OrderIssuerTest {
    private val self = HostId("a")
    private val process = ProcessId(self, IncarnationId(1))
    private val outbox = Outbox(self) { null }
    private val issuer = OrderIssuer(process, Random(5), outbox)
    private val ownerLog = mutableListOf<OwnerEntry>()
    private val sentOrders = mutableListOf<OrderEffect.SendOrder>()
    private val logLines = mutableListOf<OrderLine>()
    private var nowMs = 0L

    private fun configure(owner: HostId) {
        val declarations = listOf(
            PoolSpec(PoolId("drafts"), PoolKind.Model(MODEL), 3),
            endpoint(first),
            endpoint(second)
        )
        val configuration = Configuration(Revision(7), declarations.associateBy { it.key }, null)
        issuer.refresh(configuration, emptySet(), { owner }, nowMs)
    }

    private fun runUntil(endMs: Long) {
        while (nowMs < endMs) {
            nowMs += 1_000
            for (id in listOf(first, second)) {
                issuer.onInput(OrderInput.DeploymentRead(id, oldState), nowMs)
            }
            issuer.tick(nowMs)
            outbox.takeEffects().forEach { perform(it as OrderEffect) }
        }
    }

    private fun perform(effect: OrderEffect) {
        when (effect) {
            is OrderEffect.AppendTakeOver -> {
                ownerLog += effect.entry
                val offset = LogOffset(ownerLog.size - 1L)
                issuer.onInput(OrderInput.TakeOverAppended(effect.entry.shard, offset), nowMs)
            }

            is OrderEffect.ReadOwners -> {
                val entries = ownerLog.mapIndexed { index, entry ->
                    LogOffset(index.toLong()) to
                        entry
                }
                val input = OrderInput.OwnersRead(entries, LogOffset(ownerLog.size.toLong()))
                issuer.onInput(input, nowMs)
            }

            is OrderEffect.SendOrder -> {
                sentOrders += effect
                val result = OrderResult.Failed("expected status 202, found 409")
                issuer.onInput(OrderInput.OrderEnded(effect.shard, effect.order.id, result), nowMs)
            }

            is OrderEffect.LogOrder -> logLines += effect.line

            is OrderEffect.PollDeployments -> Unit
        }
    }

    @Nested
    inner class Owner {
        @Test
        fun `the first order follows the take-over and carries its offset`() {
            configure(self)
            runUntil(90_000)

            assertEquals(1, ownerLog.size)
            assertEquals(LogOffset(0), sentOrders.first().order.fencing.ownerOffset)
            assertEquals(listOf("order", "failed"), logLines.take(2).map { it.choice })
        }

        @Test
        fun `a take-over by another process stops the owner at its next read`() {
            configure(self)
            runUntil(90_000)
            val other = ProcessId(HostId("b"), IncarnationId(1))
            ownerLog += OwnerEntry.TakeOver(sentOrders.first().shard, other)
            runUntil(92_000)
            val count = sentOrders.size

            runUntil(115_000)

            assertEquals(count, sentOrders.size)
        }

        @Test
        fun `a host that is no longer the owner sends nothing more`() {
            configure(self)
            runUntil(90_000)
            val count = sentOrders.size
            assertTrue(count > 0)
            configure(HostId("b"))

            runUntil(600_000)

            assertEquals(count, sentOrders.size)
        }
    }

    @Nested
    inner class OtherHost {
        @Test
        fun `it neither appends nor orders nor reads`() {
            configure(HostId("b"))
            runUntil(600_000)

            assertEquals(emptyList(), ownerLog)
            assertEquals(emptyList(), sentOrders)
        }
    }
}
