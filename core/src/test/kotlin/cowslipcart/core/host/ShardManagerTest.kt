package cowslipcart.core.host

import cowslipcart.core.capacity.LoadReport
import cowslipcart.core.capacity.POOL
import cowslipcart.core.capacity.endpoint
import cowslipcart.core.capacity.request
import cowslipcart.core.model.Configuration
import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.EndpointSpec
import cowslipcart.core.model.HostId
import cowslipcart.core.model.PoolKind
import cowslipcart.core.model.PoolSpec
import cowslipcart.core.model.PresetName
import cowslipcart.core.model.PresetSpec
import cowslipcart.core.model.Revision
import cowslipcart.core.model.ShardId
import cowslipcart.core.model.Tier
import cowslipcart.core.model.TierPolicy
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import org.junit.jupiter.api.Nested

/** Guards against grants on a leaving endpoint whose notice the owner has not seen. */
class ShardManagerTest {
    private val self = HostId("a")
    private val other = HostId("b")
    private val outbox = Outbox(HostId("c")) { "127.0.0.1:1" }
    private val manager = ShardManager(self, Random(1), outbox, cacheReadBytesPerS = 0)
    private val first = endpoint("e1")
    private var askCount = 0L
    private var nowMs = 0L

    private fun own(vararg endpoints: EndpointSpec, owner: HostId = self) {
        val preset = PresetSpec(PresetName("p"), mapOf(Tier(0) to TierPolicy(1.0, 9)), 0.0)
        val pool = PoolSpec(POOL, PoolKind.Model("m"), 1)
        val declarations = (endpoints.toList() + pool + preset).associateBy { it.key }
        val configuration = Configuration(Revision(1), declarations, preset.name)
        input { manager.refresh(configuration, setOf(owner), emptySet(), nowMs) }
    }

    private fun report(id: EndpointId) = input {
        manager.onLoad(LoadReport(id, 0, 0, 0, false), nowMs)
    }

    /** Asks for a new request and returns the endpoint that was granted, if any. */
    private fun ask(isSuspect: Boolean = false): EndpointId? {
        val request = request("r${++askCount}", tier = 0, isSuspect = isSuspect)
        outbox.takeEffects()
        input { manager.onMessage(PeerMessage.AskCapacity(ShardId(POOL, 0), request, 1), nowMs) }
        return sentGrants().firstOrNull()?.endpoint
    }

    private fun sentGrants() = outbox.takeEffects().filterIsInstance<HostEffect.SendPeer>()
        .mapNotNull { it.message as? PeerMessage.CapacityGranted }

    private fun input(action: () -> Unit) {
        nowMs += 20
        manager.onInput(nowMs)
        action()
    }

    @Nested
    inner class FirstReport {
        @Test
        fun `a new owner grants capacity on an endpoint only after its load report`() {
            own(first)
            assertEquals(null, ask())
            report(first.id)
            assertEquals(first.id, ask())
        }

        @Test
        fun `requests that wait for the report are granted when it arrives`() {
            own(first)
            repeat(2) { ask() }
            report(first.id)
            assertEquals(listOf("r1", "r2"), sentGrants().map { it.requestId.value })
        }

        @Test
        fun `a suspect request waits for the report as well`() {
            own(first)
            assertEquals(null, ask(isSuspect = true))
            report(first.id)
            assertEquals(1, sentGrants().size)
        }

        @Test
        fun `an endpoint that is declared later or at another address has to report`() {
            own(first)
            report(first.id)
            own(first.copy(address = "127.0.0.1:9"))
            assertEquals(null, ask())
            report(first.id)
            assertEquals(first.id, ask())
        }

        @Test
        fun `an owner that lost and regained the shard waits for a new report`() {
            own(first)
            report(first.id)
            own(first, owner = other)
            own(first)
            assertEquals(null, ask())
        }

        @Test
        fun `an owner that keeps the shard does not wait again`() {
            own(first)
            report(first.id)
            own(first)
            assertEquals(first.id, ask())
        }

        @Test
        fun `a failed load poll does not count as a report`() {
            own(first)
            manager.onLoadFailed(first.id)
            assertEquals(null, ask())
        }
    }
}
