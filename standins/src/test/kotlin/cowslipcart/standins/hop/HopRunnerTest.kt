package cowslipcart.standins.hop

import cowslipcart.standins.http.HttpTestServer
import cowslipcart.standins.http.respondError
import cowslipcart.standins.load.AnswerFault
import cowslipcart.standins.load.LoadClient
import cowslipcart.standins.load.LoadOutcome
import cowslipcart.standins.load.LoadTarget
import io.ktor.http.HttpStatusCode
import io.ktor.server.request.receiveText
import io.ktor.server.routing.post
import java.util.concurrent.ConcurrentLinkedQueue
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Nested

/** Guards against a comparison of different requests and against ratios that hide failures. */
class HopRunnerTest {
    @Nested
    inner class Rounds {
        @Test
        fun `both paths get the same requests and warm-up is not counted`() {
            val bodies = List(2) { ConcurrentLinkedQueue<String>() }
            val servers = bodies.map { received ->
                HttpTestServer {
                    post("/v1/chat/completions") {
                        received += call.receiveText()
                        call.respondError(HttpStatusCode.ServiceUnavailable, "refused")
                    }
                }
            }
            val targets = servers.map { checkNotNull(LoadTarget.parse(it.url).getOrNull()) }
            val plan = HopPlan(
                engine = targets[0],
                daemon = targets[1],
                warmUp = HopLevel(1, 1),
                levels = listOf(HopLevel(3, 2)),
                warmUpRounds = 1,
                promptWords = 4,
                maxTokens = 2,
                spreadMs = 0,
                seed = 1
            )

            val level = LoadClient("t", 30_000).use { client ->
                runBlocking { HopRunner(plan, client).run() }
            }.single()
            servers.forEach { it.close() }

            assertEquals(2 + 9, bodies[0].size)
            assertEquals(bodies[0].sorted(), bodies[1].sorted())
            assertEquals(6, level.direct.failed)
            assertEquals(6, level.daemon.failed)
        }
    }

    @Nested
    inner class Figures {
        @Test
        fun `an answer with a fault is a failure and gives no sample`() {
            val statistics = PathStatistics()
            statistics.add(LoadOutcome.Answered(10_000, emptyList(), 20_000, null))
            statistics.add(LoadOutcome.Answered(1, emptyList(), 2, AnswerFault.TRUNCATED))

            val figures = statistics.figures()

            assertEquals(1, figures.failed)
            assertEquals(10.0, checkNotNull(figures.firstTokenMs.p50), 0.02)
            assertEquals(20.0, checkNotNull(figures.answerMs.p99), 0.02)
        }

        @Test
        fun `a ratio is the daemon's figure divided by the direct one`() {
            val ratio = QuantilesJson(60.0, 90.0).dividedBy(QuantilesJson(50.0, null))

            assertEquals(1.2, ratio.p50)
            assertNull(ratio.p99)
        }
    }
}
