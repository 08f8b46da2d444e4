package cowslipcart.systemtest

import cowslipcart.wire.admin.AcceptedResponse
import cowslipcart.wire.admin.ConflictResponse
import cowslipcart.wire.admin.SwitchPresetRequest
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.Json
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.BeforeAll
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestInstance

/** Guards against preset switches that apply late, are lost or are overwritten unnoticed. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
internal class PresetTest {
    private lateinit var cluster: Cluster

    @BeforeAll
    fun startCluster() = runBlocking { cluster = Cluster.start(ClusterPlan(engineCount = 1)) }

    @AfterAll
    fun stopCluster() = cluster.close()

    private fun otherPreset(preset: String?) = if (preset == "peak") "ordinary" else "peak"

    /** Switches to the preset that is not in force; returns the answer with the new revision. */
    private suspend fun switchPresetAt(daemon: DaemonHandle): AcceptedResponse {
        val config = daemon.config()
        val request = SwitchPresetRequest(config.revision, otherPreset(config.preset), "operator")
        val answer = daemon.switchPreset(request)
        assertEquals(200, answer.status, "$answer")
        return Json.decodeFromString(answer.body)
    }

    @Nested
    inner class Switch {
        @Test
        fun `a switch is in force on all hosts within 5 s`() = runBlocking {
            for (daemon in cluster.daemons) {
                val startMs = nowMs()
                val accepted = switchPresetAt(daemon)
                val timesMs = coroutineScope {
                    cluster.daemons.map { host ->
                        async {
                            awaitTrue("revision ${accepted.revision} on ${host.hostId}") {
                                host.config().revision >= accepted.revision
                            }
                            nowMs() - startMs
                        }
                    }.awaitAll()
                }
                println("a switch at ${daemon.hostId} was in force after $timesMs ms")
                assertTrue(timesMs.max() < 5_000, "expected less than 5,000 ms, found $timesMs")
            }
        }
    }

    @Nested
    inner class Race {
        @Test
        fun `one of two operators wins and the other is told who won`() = runBlocking {
            repeat(5) {
                val config = cluster.daemons[0].config()
                awaitTrue("revision ${config.revision} on ${cluster.daemons[1].hostId}") {
                    cluster.daemons[1].config().revision >= config.revision
                }
                val answers = coroutineScope {
                    listOf("first", "second").mapIndexed { index, author ->
                        val request =
                            SwitchPresetRequest(config.revision, otherPreset(config.preset), author)
                        async { author to cluster.daemons[index].switchPreset(request) }
                    }.awaitAll()
                }
                val (winner, _) = answers.single { (_, answer) -> answer.status == 200 }
                val (_, rejected) = answers.single { (_, answer) -> answer.status == 409 }
                val conflict = Json.decodeFromString<ConflictResponse>(rejected.body)
                assertEquals(ConflictResponse(winner, config.revision + 1), conflict)
            }
        }
    }

    @Nested
    inner class RestartInOutage {
        @AfterEach
        fun endOutage() = runBlocking {
            cluster.setLogFaults("""{"outage":false}""")
            cluster.awaitReady()
        }

        @Test
        fun `a daemon that starts in an outage is ready with the newest preset when it ends`() =
            runBlocking {
                val accepted = switchPresetAt(cluster.daemons[0])
                val preset = cluster.daemons[0].config().preset
                cluster.setLogFaults("""{"outage":true}""")
                val started = cluster.replaceDaemon(2)
                checkStaysNotReady(started)
                cluster.setLogFaults("""{"outage":false}""")
                awaitTrue("the new daemon to be ready", LONG_BOUND_MS) { started.isReady() }
                val config = started.config()
                assertEquals(accepted.revision to preset, config.revision to config.preset)
            }

        /**
         * Checks that [daemon] stays not ready while it cannot read the log. Its peers alone cannot
         * know which configuration a dead host had in force.
         */
        private suspend fun checkStaysNotReady(daemon: DaemonHandle) {
            awaitTrue("${daemon.hostId} to report the log as missing", LONG_BOUND_MS) {
                "end of the log" in daemon.get("/readyz")?.body.orEmpty()
            }
            val endMs = nowMs() + WATCH_MS
            awaitTrue("$WATCH_MS ms to pass", LONG_BOUND_MS) {
                val ready = daemon.get("/readyz")
                assertEquals(503, ready?.status, "$ready")
                nowMs() >= endMs
            }
        }

        @Test
        fun `a daemon that starts in an outage is not ready while a peer is paused`() =
            runBlocking {
                val paused = cluster.daemons[1]
                cluster.setLogFaults("""{"outage":true}""")
                paused.process.pause()
                try {
                    val started = cluster.replaceDaemon(2)
                    // Only this peer is named once the host list and the other peer have answered.
                    awaitTrue("the new daemon to wait only for ${paused.hostId}", LONG_BOUND_MS) {
                        val missing = started.get("/readyz")?.body.orEmpty()
                        paused.hostId in missing && cluster.daemons[0].hostId !in missing
                    }
                    checkStaysNotReady(started)
                } finally {
                    paused.process.resume()
                }
                checkStaysNotReady(cluster.daemons[2])
                cluster.setLogFaults("""{"outage":false}""")
                awaitTrue("the new daemon to be ready", LONG_BOUND_MS) {
                    cluster.daemons[2].isReady()
                }
            }
    }

    private companion object {
        /** Longer than the 4 s after which the other hosts consider a paused one dead. */
        const val WATCH_MS = 6_000L
    }
}
