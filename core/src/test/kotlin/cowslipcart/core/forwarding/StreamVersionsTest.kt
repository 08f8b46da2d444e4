package cowslipcart.core.forwarding

import cowslipcart.core.model.VersionId
import cowslipcart.core.routing.WorkKind
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test

/** Guards against streams whose first part is of one version and the rest of another. */
class StreamVersionsTest {
    private val fleet = StreamFleet()
    private val first = fleet.host(0)
    private val second = fleet.host(1)

    private fun list(vararg endpoints: Pair<String, String>) = fleet.list(entries(*endpoints))

    private fun entries(vararg endpoints: Pair<String, String>) = endpoints.map { (id, version) ->
        ForwardingFixture.entry(id, slots = 20).copy(version = VersionId(version))
    }

    /** A stream begins at [host]; returns the request and the version of its endpoint. */
    private fun begin(host: ForwardingFixture): Pair<ForwardedCall, String> {
        val call = host.call(STREAM)
        val dispatch = host.arrive(call).single() as CallCommand.Dispatch
        host.send(ForwardingInput.ResponseStarted(call.id, dispatch.attempt))
        return call to dispatch.endpoint.version.value
    }

    /** The caller of [call] goes on at [host]; returns the last command within a second. */
    private fun resume(host: ForwardingFixture, call: ForwardedCall?): CallCommand {
        val resumed = host.call(STREAM, resumption = Resumption(call?.requestId))
        fleet.watch(host, resumed.id)
        host.send(ForwardingInput.Arrived(resumed))
        fleet.pass(1_000)
        return fleet.watched.single()
    }

    private fun versionOf(command: CallCommand) =
        (command as CallCommand.Send).endpoint.version.value

    private fun assertUnknown(command: CallCommand) =
        assertEquals(RefusalReason.UNKNOWN_STREAM, (command as CallCommand.Refuse).reason)

    @Nested
    inner class InOneAnswer {
        @Test
        fun `a stream that broke off goes on at the version that began it`() {
            list("a" to "v1", "b" to "v2", "c" to "v1", "d" to "v2")
            fleet.pass(5_000)
            repeat(20) {
                val (call, version) = begin(first)
                val next = first.end(call, AttemptOutcome.Broken("reset", true, true)).single()
                assertEquals(version, versionOf(next))
            }
        }

        @Test
        fun `a stream is given up if its version has no other endpoint`() {
            list("a" to "v1")
            fleet.pass(5_000)
            val (call, _) = begin(first)
            list("a" to "v1", "b" to "v2")
            fleet.pass(5_000)
            val next = first.end(call, AttemptOutcome.Broken("reset", true, true)).single()
            assertTrue(next is CallCommand.GiveUp, "found $next")
        }
    }

    @Nested
    inner class Resumed {
        @Test
        fun `a caller goes on at another host with the version that began its stream`() {
            list("a" to "v1", "b" to "v2", "c" to "v1", "d" to "v2")
            fleet.pass(5_000)
            // With one more request, the second host prefers another endpoint than the first one.
            begin(second)
            repeat(20) {
                val (call, version) = begin(first)
                fleet.pass(300)
                assertEquals(version, versionOf(resume(second, call)))
            }
        }

        @Test
        fun `a stream that began before another version came goes on at its own`() {
            list("a" to "v1", "c" to "v1")
            fleet.pass(5_000)
            val (call, _) = begin(first)
            list("a" to "v1", "b" to "v2", "c" to "v1")
            fleet.pass(700)
            repeat(2) { begin(second) }
            assertEquals("v1", versionOf(resume(second, call)))
        }

        @Test
        fun `a host that restarted asks the others`() {
            list("a" to "v1", "b" to "v2")
            fleet.pass(5_000)
            val (call, version) = begin(first)
            fleet.pass(300)
            fleet.restart(1)
            assertEquals(version, versionOf(resume(fleet.host(1), call)))
        }

        @Test
        fun `a stream that no host knows is refused while several versions may have begun it`() {
            list("a" to "v1", "b" to "v2")
            fleet.pass(5_000)
            assertUnknown(resume(second, null))
        }

        /** Guards against callers who are refused since a host that starts has not read the store. */
        @Test
        fun `a host that has not read the store waits for it`() {
            list("a" to "v1")
            val starting = ForwardingFixture(host = "host-2")
            starting.listEndpoints(ForwardingFixture.entry("a").copy(version = VersionId("v1")))
            val call = starting.call(STREAM, resumption = Resumption(null))
            assertEquals(emptyList(), starting.arrive(call))
            starting.nowMs = 1_000
            assertEquals(emptyList(), starting.commandsOf(ForwardingInput.Tick))
            val versions = setOf(PoolVersion(call.pool, VersionId("v1")))
            assertEquals(
                emptyList(),
                starting.commandsOf(ForwardingInput.VersionsRead(versions))
            )
            val commands = starting.commandsOf(
                ForwardingInput.VersionsConfirmed(versions, asOfMs = starting.nowMs)
            )
            assertEquals("v1", versionOf(commands.single()))
        }

        @Test
        fun `a stream that no host knows goes on while there was one version only`() {
            list("a" to "v1", "b" to "v1")
            fleet.pass(5_000)
            assertEquals("v1", versionOf(resume(second, null)))
        }

        @Test
        fun `a list of endpoints that is old does not tell that there is one version only`() {
            list("a" to "v1")
            fleet.pass(5_000)
            second.send(ForwardingInput.EndpointsKnown(second.nowMs - 3_000, isStoreLost = true))
            assertUnknown(resume(second, null))
        }
    }

    /**
     * Guards against a host that missed a version while it stood still, or was cut off from the
     * others, and then takes a late update of its list for a new one.
     */
    @Nested
    inner class OutOfStep {
        private fun missVersion(): ForwardedCall {
            list("a" to "v1")
            fleet.pass(5_000)
            fleet.areCut = true
            fleet.listAt(first, entries("a" to "v1", "b" to "v2"))
            fleet.pass(3_000)
            second.send(ForwardingInput.EndpointsKnown(second.nowMs, isStoreLost = false))
            return generateSequence { begin(first) }.first { it.second == "v2" }.first
        }

        @Test
        fun `a stream of a version that a host missed does not go on at another one`() {
            assertUnknown(resume(second, missVersion()))
        }

        @Test
        fun `a stream that begins as the only other version leaves does not go on there`() {
            list("a" to "v1")
            fleet.pass(5_000)
            fleet.areCut = true
            fleet.listAt(first, entries("b" to "v2"))
            val (call, version) = begin(first)
            assertEquals("v2", version)
            assertUnknown(resume(second, call))
        }

        @Test
        fun `it goes on once the host has caught up with the others`() {
            val call = missVersion()
            fleet.areCut = false
            second.send(
                ForwardingInput.EndpointsChanged(entries("a" to "v1", "b" to "v2"))
            )
            assertEquals("v2", versionOf(resume(second, call)))
        }
    }

    @Nested
    inner class NewVersion {
        @Test
        fun `it begins no streams before all hosts know of it`() {
            list("a" to "v1")
            fleet.pass(5_000)
            list("a" to "v1", "b" to "v2")
            fleet.pass(1_000)
            repeat(10) { assertEquals("v1", begin(first).second) }
            fleet.pass(2_000)
            assertTrue((1..10).any { begin(first).second == "v2" })
        }

        @Test
        fun `it goes on to begin streams after the store came back from an older copy`() {
            list("a" to "v1", "b" to "v2")
            fleet.pass(5_000)
            fleet.revertStore()
            assertEquals(setOf("v1", "v2"), (1..10).map { begin(first).second }.toSet())
        }

        @Test
        fun `it begins streams at once if no other version is in service`() {
            list("a" to "v1")
            fleet.pass(5_000)
            list("b" to "v2")
            assertEquals("v2", begin(first).second)
        }
    }

    @Nested
    inner class TotalLoss {
        /** Guards against hosts that know nothing of a version whose endpoints left while down. */
        @Test
        fun `streams of a version that has left are refused after all hosts restarted`() {
            list("a" to "v1")
            fleet.pass(5_000)
            val (call, _) = begin(first)
            list("b" to "v2")
            fleet.pass(500)
            fleet.restartAll()
            assertTrue(resume(fleet.host(0), call) is CallCommand.Refuse)
            assertUnknown(resume(fleet.host(0), null))
        }

        /** Guards against callers that are all refused after the loss of all hosts. */
        @Test
        fun `streams of several versions go on after all hosts restarted`() {
            list("a" to "v1", "b" to "v2")
            fleet.pass(5_000)
            begin(second)
            val (call, version) = begin(first)
            fleet.pass(800)
            fleet.restartAll()
            assertEquals(version, versionOf(resume(fleet.host(0), call)))
        }

        @Test
        fun `streams of the only version go on after all hosts restarted`() {
            list("a" to "v1")
            fleet.pass(5_000)
            val (call, _) = begin(first)
            fleet.restartAll()
            assertEquals("v1", versionOf(resume(fleet.host(0), call)))
        }

        @Test
        fun `versions are stored again after the store came back from an older copy`() {
            list("a" to "v1")
            fleet.pass(5_000)
            list("a" to "v1", "b" to "v2")
            fleet.pass(5_000)
            fleet.revertStore()
            val (call, _) = begin(first)
            list("b" to "v2")
            fleet.pass(500)
            fleet.restartAll()
            assertTrue(resume(fleet.host(0), call) is CallCommand.Refuse)
            assertUnknown(resume(fleet.host(0), null))
        }

        @Test
        fun `a version is forgotten once its streams have ended`() {
            list("a" to "v1")
            fleet.pass(5_000)
            list("b" to "v2")
            fleet.pass(35_000)
            assertEquals(setOf("v2"), fleet.stored.map { it.version.value }.toSet())
            assertEquals("v2", versionOf(resume(first, null)))
        }
    }

    private companion object {
        val STREAM = WorkKind.EventStream(isResumable = true, gapTargetMs = 300)
    }
}
