package cowslipcart.core.rollout

import cowslipcart.core.forwarding.AttemptOutcome
import cowslipcart.core.forwarding.CallCommand
import cowslipcart.core.forwarding.EndpointEntry
import cowslipcart.core.forwarding.ForwardingEffect
import cowslipcart.core.forwarding.ForwardingFixture
import cowslipcart.core.forwarding.ForwardingInput
import cowslipcart.core.model.HostId
import cowslipcart.core.model.LogOffset
import cowslipcart.core.model.VersionId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import org.junit.jupiter.api.Nested

class RolloutGateTest {
    private val fixture = ForwardingFixture(rolloutBounds = RolloutBounds())
    private val old = VersionId("v1")
    private val new = VersionId("v2")
    private val order = RolloutOrder(ForwardingFixture.POOL, new, 60_000, LogOffset(5))
    private var end = 0L

    private fun entry(id: String, version: VersionId, slots: Int = 8): EndpointEntry =
        ForwardingFixture.entry(id, slots).copy(version = version)

    private val oldEntries = (1..4).map { entry("old-$it", old) }
    private val newEntries = (1..4).map { entry("new-$it", new) }

    private fun list(entries: List<EndpointEntry>) = fixture.listEndpoints(*entries.toTypedArray())

    private fun change(change: RolloutChange): List<RolloutEffect> =
        fixture.send(ForwardingInput.RolloutsChanged(change, fixture.nowMs))
            .filterIsInstance<ForwardingEffect.Rollout>()
            .map { it.effect }

    /** The store has a record of [step], which this host has just read. */
    private fun record(step: RolloutStep): List<RolloutEffect> {
        val record = RolloutRecord(
            order.offset,
            order.pool,
            new,
            setOf(old),
            step,
            0,
            HostId("host-2")
        )
        val stored = StoredRollout(record, LogOffset(end++))
        return change(RolloutChange.TableRead(listOf(stored), LogOffset(end), fixture.nowMs))
    }

    private fun readNothing() =
        change(RolloutChange.TableRead(emptyList(), LogOffset(end), fixture.nowMs))

    /** Sends a request, which is answered at once; returns the version that it was sent to. */
    private fun versionOfNext(): VersionId? {
        fixture.nowMs += 10
        val call = fixture.call()
        val command = fixture.arrive(call).single() as? CallCommand.Send ?: return null
        fixture.end(call, AttemptOutcome.Answered(true))
        return command.endpoint.version
    }

    /** Sends more requests at once than the endpoints of one version have slots for. */
    private fun countNewOfMany(): Int = (1..MANY).count {
        val command = fixture.arrive(fixture.call()).firstOrNull() as? CallCommand.Send
        command?.endpoint?.version == new
    }

    private fun countNew(requests: Int): Int = (1..requests).count { versionOfNext() == new }

    /** Guards deployments without roll-outs, whose endpoints are replaced without an order. */
    @Nested
    inner class WithoutBounds {
        @Test
        fun `versions are not told apart`() {
            val unbounded = ForwardingFixture()
            unbounded.listEndpoints(*oldEntries.toTypedArray())
            unbounded.listEndpoints(*(oldEntries + newEntries).toTypedArray())
            val ordered = ForwardingInput.RolloutsChanged(RolloutChange.Ordered(order), 0)
            assertEquals(emptyList(), unbounded.send(ordered))
            val versions = (1..MANY).mapNotNull {
                val command = unbounded.arrive(unbounded.call()).firstOrNull()
                (command as? CallCommand.Send)?.endpoint?.version
            }
            assertEquals(setOf(old, new), versions.toSet())
        }
    }

    @Nested
    inner class WithoutOrder {
        /** Guards against requests to a version that no order names. */
        @Test
        fun `endpoints of another version get nothing beside those in service`() {
            list(oldEntries)
            list(oldEntries + newEntries)

            assertEquals(0, countNewOfMany())
        }

        /** Guards against a pool that runs dry because its endpoints are replaced. */
        @Test
        fun `endpoints that replace those in service get requests`() {
            list(oldEntries)
            list(oldEntries.drop(1) + newEntries.take(1))

            assertTrue(countNewOfMany() > 0)
        }

        /** Guards against a host that starts beside two versions and uses one of them only. */
        @Test
        fun `all versions of the first list are in service`() {
            list(oldEntries + newEntries)

            assertTrue(countNewOfMany() > 0)
        }
    }

    @Nested
    inner class Observing {
        private fun observe() {
            list(oldEntries)
            change(RolloutChange.Ordered(order))
            list(oldEntries + newEntries)
            record(RolloutStep.Observing)
        }

        @Test
        fun `the new version gets at most its share`() {
            observe()
            val exposed = (1..10).sumOf { countNew(100).also { readNothing() } }

            assertTrue(exposed in 60..100, "found $exposed of 1000")
        }

        /** Guards against exposure that no record allows. */
        @Test
        fun `an order without a record sends nothing to the new version`() {
            list(oldEntries)
            change(RolloutChange.Ordered(order))
            list(oldEntries + newEntries)

            assertEquals(0, countNew(200))
        }

        /** Guards against a host that is told nothing and goes on. */
        @Test
        fun `a permission lapses when nothing is heard of the store`() {
            observe()
            countNew(100)
            fixture.nowMs += PoolRollout.PERMIT_MS

            assertEquals(0, countNew(300))
        }

        /** Guards against traffic that moves because the earlier endpoints crash. */
        @Test
        fun `requests are refused when no earlier endpoint is left`() {
            observe()
            list(newEntries)

            val command = fixture.arrive(fixture.call()).single()
            assertIs<CallCommand.Refuse>(command)
        }

        /** Guards against a request that fails twice by the same version. */
        @Test
        fun `a retry goes to the earlier version`() {
            observe()
            repeat(300) {
                fixture.nowMs += 10
                val call = fixture.call()
                fixture.arrive(call)
                val retry = fixture.end(call, AttemptOutcome.Answered(false))
                    .filterIsInstance<CallCommand.Send>()
                    .singleOrNull()
                if (retry != null) assertEquals(old, retry.endpoint.version)
                fixture.end(call, AttemptOutcome.Answered(true))
            }
        }
    }

    @Nested
    inner class Later {
        private fun shift(step: RolloutStep) {
            list(oldEntries)
            change(RolloutChange.Ordered(order))
            list(oldEntries + newEntries)
            record(step)
        }

        @Test
        fun `the new version gets its part of a step`() {
            shift(RolloutStep.Shifting(25))
            assertEquals(50, countNew(200))
            record(RolloutStep.Shifting(50))
            assertEquals(100, countNew(200))
            record(RolloutStep.Moved)
            assertEquals(200, countNew(200))
        }

        /** Guards against requests on endpoints that stop without draining. */
        @Test
        fun `a moved pool without permission goes back, a complete one does not`() {
            shift(RolloutStep.Moved)
            fixture.nowMs += PoolRollout.PERMIT_MS
            assertEquals(0, countNew(100))
            record(RolloutStep.Complete)
            fixture.nowMs += PoolRollout.PERMIT_MS

            assertEquals(100, countNew(100))
        }

        @Test
        fun `a version that was taken back gets nothing, also without others`() {
            shift(RolloutStep.Shifting(50))
            record(RolloutStep.RolledBack)
            assertEquals(0, countNew(100))
            list(newEntries)

            assertEquals(0, countNew(1))
        }

        /** Guards against a later order that inherits the steps of an earlier one. */
        @Test
        fun `a later order begins anew`() {
            shift(RolloutStep.Moved)
            change(RolloutChange.Ordered(order.copy(to = VersionId("v3"), offset = LogOffset(9))))

            assertEquals(0, countNew(100))
        }

        /** Guards against an earlier order that is heard again after a later one. */
        @Test
        fun `an earlier order changes nothing`() {
            shift(RolloutStep.Moved)
            change(RolloutChange.Ordered(order.copy(to = old, offset = LogOffset(4))))

            assertEquals(100, countNew(100))
        }
    }

    private companion object {
        const val MANY = 60
    }
}
