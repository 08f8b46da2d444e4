package cowslipcart.standins.load

import cowslipcart.core.model.Tier
import cowslipcart.standins.engine.EngineSettings
import cowslipcart.standins.engine.createEngineModel
import cowslipcart.standins.http.EngineRuntime
import cowslipcart.standins.http.HttpTestServer
import cowslipcart.standins.http.StandinClock
import cowslipcart.standins.http.engineRoutes
import cowslipcart.standins.http.respondError
import io.ktor.http.HttpStatusCode
import io.ktor.server.response.respondText
import io.ktor.server.routing.Route
import io.ktor.server.routing.post
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Nested

/** Guards against figures that hide refusals, lost answers or resends. */
class LoadRunnerTest {
    private val mix = LoadMix(
        targetCount = 1,
        requestsPerS = 1_000.0,
        durationMs = 20,
        tiers = listOf(Tier(1)),
        promptWords = 5..5,
        maxTokens = 3..3,
        isKeyed = true,
        resendRate = 0.0,
        seed = 1
    )
    private val plannedCount = planLoad(mix).count()

    private fun runAgainst(routes: Route.() -> Unit): LoadReport = HttpTestServer(routes).use {
        val target = checkNotNull(LoadTarget.parse(it.url).getOrNull())
        LoadClient(token = "t", timeoutMs = 30_000).use { client ->
            runBlocking { LoadRunner(mix, listOf(target), client).run() }
        }
    }

    @Nested
    inner class Run {
        @Test
        fun `complete answers of an engine pass the check`() {
            val clock = StandinClock.start(wallMs = { 0 })
            val model = createEngineModel(EngineSettings(baseStepUs = 1_000))
            EngineRuntime(model, "CRASH", clock) {}.use { runtime ->
                val report = runAgainst { engineRoutes(runtime, clock, journalFile = null) }

                assertEquals(plannedCount, report.all.answered)
                assertEquals(0, report.all.checkFailures)
                assertEquals(report.all, report.tiers[Tier(1)])
            }
        }

        @Test
        fun `refusals are counted by problem type or status`() {
            val problem = """{"type":"urn:cowslipcart:problem:not-run"}"""
            val withType = runAgainst {
                post("/v1/chat/completions") {
                    call.respondText(problem, status = HttpStatusCode.ServiceUnavailable)
                }
            }
            val withoutType = runAgainst {
                post("/v1/chat/completions") { call.respondError(HttpStatusCode.Conflict, "x") }
            }

            val type = "urn:cowslipcart:problem:not-run"
            assertEquals(mapOf(type to plannedCount), withType.all.refused)
            assertEquals(mapOf("status-409" to plannedCount), withoutType.all.refused)
            assertNull(withType.all.firstTokenMs.p50)
        }

        @Test
        fun `an event that is not a chunk is a check failure and does not end the run`() {
            val report = runAgainst {
                post("/v1/chat/completions") { call.respondText("data: {oops\n\n") }
            }

            assertEquals(mapOf("malformed" to plannedCount), report.all.checkFailuresByType)
        }

        @Test
        fun `an empty answer is truncated`() {
            val report = runAgainst { post("/v1/chat/completions") { call.respondText("") } }

            assertEquals(mapOf("truncated" to plannedCount), report.all.checkFailuresByType)
        }
    }
}
