package cowslipcart.systemtest

import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.BeforeAll
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestInstance

/** Guards against answers that are truncated, mixed up or sent to another request. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
internal class WholeAnswerTest {
    private lateinit var cluster: Cluster

    @BeforeAll
    fun startCluster() = runBlocking {
        cluster = Cluster.start(ClusterPlan(daemonCount = 2, engineCount = 1, engineSlots = 4))
    }

    @AfterAll
    fun stopCluster() = cluster.close()

    private fun daemonFor(number: Int) = cluster.daemons[number % cluster.daemons.size]

    @Nested
    inner class Concurrent {
        @Test
        fun `answers with and without streaming belong to their own request`() = runBlocking {
            val faults = withContext(Dispatchers.Default) {
                (0 until REQUEST_COUNT).map { number ->
                    async { if (number % 2 == 0) findStreamFault(number) else findFault(number) }
                }.awaitAll().filterNotNull()
            }
            assertEquals(emptyList(), faults)
        }

        private suspend fun findStreamFault(number: Int): String? =
            daemonFor(number / 2).streamChat("stream $number", TOKENS)
                .findFault("stream $number", TOKENS)

        private suspend fun findFault(number: Int): String? {
            val answer = daemonFor(number / 2).chat(chatBody("whole $number", TOKENS))
            if (answer.status != 200) return "expected status 200, found $answer"
            val content = Json.parseToJsonElement(answer.body).jsonObject.getValue("choices")
                .jsonArray.first().jsonObject.getValue("message").jsonObject.getValue("content")
                .jsonPrimitive.content
            val expected = expectedAnswer("whole $number", TOKENS)
            return if (content == expected) null else "expected '$expected', found '$content'"
        }
    }

    @Nested
    inner class Preemption {
        @Test
        fun `low-tier streams that top-tier requests preempt are still complete`() = runBlocking {
            val faults = withContext(Dispatchers.Default) {
                val low = (0 until LOW_COUNT).map { number ->
                    async {
                        daemonFor(number)
                            .streamChat("low $number", LOW_TOKENS, SampleDeclarations.LOW_TIER)
                            .findFault("low $number", LOW_TOKENS)
                    }
                }
                awaitTrue("low-tier streams on the engine") { isRunningOnEngine() }
                val top = mutableListOf<String?>()
                while (!hasPreempted() && low.any { it.isActive }) top += sendTopBatch(top.size)
                top + low.awaitAll()
            }
            assertEquals(emptyList(), faults.filterNotNull())
            assertTrue(hasPreempted(), "expected a preempted stream, found none")
        }

        private suspend fun isRunningOnEngine(): Boolean =
            "\"running\":0" !in cluster.engines.first().get("/load")

        // The journal's outcome does not show a preemption, as a resumed stream runs again.
        private suspend fun hasPreempted(): Boolean =
            CANCELLED_ENTRY in cluster.engines.first().get("/journal")

        private suspend fun sendTopBatch(firstNumber: Int): List<String?> = coroutineScope {
            (firstNumber until firstNumber + TOP_COUNT).map { number ->
                async {
                    daemonFor(number).streamChat("top $number", TOKENS)
                        .findFault("top $number", TOKENS)
                }
            }.awaitAll()
        }
    }

    private companion object {
        const val REQUEST_COUNT = 60
        const val TOKENS = 12
        const val LOW_COUNT = 30
        const val LOW_TOKENS = 600
        const val TOP_COUNT = 12
        val CANCELLED_ENTRY = Regex("\"cancel_count\":[1-9]")
    }
}
