package cowslipcart.core.forwarding

import cowslipcart.core.forwarding.ForwardingFixture.Companion.entry
import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.HostId
import cowslipcart.core.routing.WorkKind
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import org.junit.jupiter.api.Nested

/**
 * Guards against a route that is closed since endpoints reset a few of its connections: they were
 * taken for crashes although the endpoints ran on; review/8.
 */
class RefutedCrashTest {
    private val reader = ForwardingFixture(host = "host-1")
    private val member = ForwardingFixture(host = "host-2")
    private val hosts = listOf(reader, member)
    private val ids = (1..5).map { EndpointId("e$it") }
    private val lost = AttemptOutcome.Broken("closed", isConnectionLost = true)

    /** State of an endpoint: null while it is down. */
    private val startedAtMs = ids.associateWith { 7L as Long? }.toMutableMap()
    private val sequences = ids.associateWith { 100L }.toMutableMap()
    private var lastReadAtMs = 0L
    private var nowMs = 0L

    init {
        for (host in hosts) {
            host.listEndpoints(*ids.map { entry(it.value, 9) }.toTypedArray())
            val listed = hosts.associate { it.host to HostProfile("a", 1.0) }
            host.controller.onHostsListed(listed, 0)
        }
    }

    /** Only [reader] reads the records of the endpoints; the hosts report to each other. */
    private fun pass(durationMs: Long) {
        val endMs = nowMs + durationMs
        while (nowMs < endMs) {
            nowMs += REPORT_MS
            for (host in hosts) host.nowMs = nowMs
            if (nowMs % HEARTBEAT_MS == 0L) heartbeat()
            for (from in hosts) {
                from.send(ForwardingInput.Tick)
                val report = from.controller.loadReport(nowMs) ?: continue
                for (to in hosts) to.send(ForwardingInput.PeersReported(listOf(report)))
            }
        }
    }

    private fun heartbeat() {
        val running = ids.filter { startedAtMs[it] != null }
        for (id in running) sequences[id] = sequences.getValue(id) + 1
        val heartbeats = running.map {
            EndpointHeartbeat(it, checkNotNull(startedAtMs[it]), sequences.getValue(it))
        }
        reader.send(ForwardingInput.EndpointHeartbeats(heartbeats, lastReadAtMs))
        lastReadAtMs = nowMs
    }

    private fun ForwardingFixture.newCall() = call(
        kind = WorkKind.AtMostOnce,
        maxAttempts = 1,
        prompt = listOf(PromptPart(PromptPartId(66), 60), PromptPart(PromptPartId(nowMs), 600))
    )

    private fun ForwardingFixture.newRepeat() =
        call(kind = WorkKind.AtMostOnce, maxAttempts = 1, fingerprint = "again")

    /** Returns the endpoint that gets [call], whose connection it loses; null if it is refused. */
    private fun ForwardingFixture.lose(call: ForwardedCall): EndpointId? {
        val dispatch = arrive(call).singleOrNull() as? CallCommand.Dispatch ?: return null
        end(call, lost)
        return dispatch.endpoint.id
    }

    /** Loses connections until requests like [newCall] are refused; returns the endpoints. */
    private fun loseUntilRefused(newCall: ForwardingFixture.() -> ForwardedCall): Set<EndpointId> {
        val endpoints = mutableSetOf<EndpointId>()
        repeat(MAX_LOSSES) {
            val host = hosts[it % hosts.size]
            endpoints += host.lose(newCall(host)) ?: return endpoints
            pass(800)
        }
        error("expected a refusal, found none; $endpoints at $nowMs")
    }

    private fun ForwardingFixture.isServed(call: ForwardedCall): Boolean {
        val isSent = arrive(call).singleOrNull() is CallCommand.Dispatch
        if (isSent) end(call, AttemptOutcome.Answered(isSuccess = true))
        return isSent
    }

    private fun restart(endpoints: Set<EndpointId>, startMs: Long) {
        for (id in endpoints) startedAtMs[id] = null
        pass(2_400)
        for (id in endpoints) {
            startedAtMs[id] = startMs
            sequences[id] = 0
        }
    }

    @Nested
    inner class EndpointsRunOn {
        @Test
        fun `requests with a part are served again by all hosts`() {
            pass(6_000)
            loseUntilRefused { newCall() }
            pass(RECOVERY_MS)

            for (host in hosts) assertTrue(host.isServed(host.newCall()), "${host.host}")
        }

        @Test
        fun `a request is served again by all hosts`() {
            pass(6_000)
            loseUntilRefused { newRepeat() }
            pass(RECOVERY_MS)

            // One that is let through as a probe would be refused at the next host.
            for (host in hosts) {
                assertTrue(host.arrive(host.newRepeat()).single() is CallCommand.Dispatch)
            }
        }

        @Test
        fun `a quarantine that is told again stays refuted`() {
            pass(6_000)
            loseUntilRefused { newRepeat() }
            val lostAtMs = nowMs - 800
            pass(RECOVERY_MS)
            val agoMs = nowMs - lostAtMs
            val quarantined = QuarantinedRequest(
                reader.newRepeat().fingerprint,
                ids.map { EndpointCrash(it, agoMs) },
                failedProbes = 2,
                crashedAgoMs = agoMs,
                seenAgoMs = 0
            )
            reader.report("host-3", 1, quarantines = listOf(quarantined))

            assertTrue(reader.isServed(reader.newRepeat()))
        }
    }

    @Nested
    inner class EndpointsCrash {
        /** Lets the endpoints crash and start again; returns the hosts that let a request pass. */
        private fun hostsThatSend(
            startMs: Long,
            newCall: ForwardingFixture.() -> ForwardedCall
        ): List<HostId> {
            pass(6_000)
            val crashed = loseUntilRefused(newCall)
            restart(crashed, startMs)
            pass(RECOVERY_MS)
            return hosts.filter { it.arrive(newCall(it)).single() is CallCommand.Dispatch }
                .map { it.host }
        }

        @Test
        fun `a part that crashed endpoints stays quarantined`() =
            assertEquals(emptyList(), hostsThatSend(startMs = 8) { newCall() })

        /** One host may test whether the quarantine holds. */
        @Test
        fun `a request that crashed endpoints stays quarantined`() {
            val hosts = hostsThatSend(startMs = 8) { newRepeat() }
            assertTrue(hosts.size <= 1, "$hosts")
        }

        /** Such an endpoint starts again under its id, and its records are numbered anew. */
        @Test
        fun `the same with endpoints that state no start`() {
            for (id in ids) startedAtMs[id] = 0
            val hosts = hostsThatSend(startMs = 0) { newRepeat() }
            assertTrue(hosts.size <= 1, "$hosts")
        }
    }

    private companion object {
        const val REPORT_MS = 200L
        const val HEARTBEAT_MS = 1_200L
        const val MAX_LOSSES = 20

        /** The platform allows 12 s until requests are served again. */
        const val RECOVERY_MS = 12_000L
    }
}
