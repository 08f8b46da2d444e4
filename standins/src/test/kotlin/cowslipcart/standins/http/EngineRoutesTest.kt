package cowslipcart.standins.http

import cowslipcart.standins.engine.ChatMessage
import cowslipcart.standins.engine.ChatPrompt
import cowslipcart.standins.engine.EngineSettings
import cowslipcart.standins.engine.createEngineModel
import io.ktor.client.request.header
import io.ktor.client.request.preparePost
import io.ktor.client.request.setBody
import io.ktor.client.statement.bodyAsChannel
import io.ktor.client.statement.bodyAsText
import io.ktor.utils.io.core.readText
import io.ktor.utils.io.readLine
import io.ktor.utils.io.readRemaining
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.async
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.junit.jupiter.api.Nested

/** Guards against streams with gaps or with the answer to another request. */
class EngineRoutesTest {
    private val clock = StandinClock.start(wallMs = { 7_000 })
    private val crashed = CompletableDeferred<Unit>()
    private val settings = EngineSettings(baseStepUs = 1_000)
    private val runtime = EngineRuntime(createEngineModel(settings), "CRASH", clock) {
        crashed.complete(Unit)
    }
    private val server = HttpTestServer { engineRoutes(runtime, clock, journalFile = null) }
    private val prompt = ChatPrompt(listOf(ChatMessage("user", "how wide")))

    @AfterTest
    fun close() {
        server.close()
        runtime.close()
    }

    private fun body(tokens: Int, stream: Boolean, content: String = "how wide") =
        """{"messages":[{"role":"user","content":"$content"}],
            "max_tokens":$tokens,"stream":$stream}"""

    private suspend fun postChat(id: String, body: String) =
        server.post("/v1/chat/completions", body, mapOf(REQUEST_ID_HEADER to id))

    private fun String.toChunks(): List<ChunkJson> = lines()
        .filter { it.startsWith("data: {") }
        .map { standinJson.decodeFromString(it.removePrefix("data: ")) }

    private fun List<ChunkJson>.text() =
        joinToString("") { it.choices.single().delta.content.orEmpty() }

    @Nested
    inner class Chat {
        @Test
        fun `a stream has the whole answer, all sequence numbers and the usage`(): Unit =
            runBlocking {
                val response = postChat("r1", body(tokens = 5, stream = true))
                val chunks = response.bodyAsText().toChunks()

                assertEquals("r1", response.headers[REQUEST_ID_HEADER])
                assertEquals((0..5).toList(), chunks.map { it.sequence })
                assertEquals(prompt.answer(5), chunks.text())
                assertEquals(UsageJson(3, 0, 5), chunks.last().usage)
            }

        @Test
        fun `an answer without stream has the same text`(): Unit = runBlocking {
            val answer: AnswerJson =
                standinJson.decodeFromString(postChat("r1", body(3, stream = false)).bodyAsText())

            assertEquals(prompt.answer(3), answer.choices.single().message.content)
        }

        @Test
        fun `a request that is sent twice is in the journal twice`(): Unit = runBlocking {
            repeat(2) { postChat("r1", body(tokens = 1, stream = false)) }

            val ids = server.getJson("/journal").jsonArray.map { it.jsonObject["id"] }
            assertEquals(listOf("r1", "r1"), ids.map { it?.jsonPrimitive?.content })
        }

        @Test
        fun `a poison marker crashes the engine`(): Unit = runBlocking {
            val answer = async { postChat("r1", body(1, stream = false, content = "CRASH")) }

            crashed.await()
            assertEquals(500, answer.await().status.value)
        }
    }

    @Nested
    inner class CancelAndResume {
        @Test
        fun `the parts before and after a cancel make the whole answer`(): Unit = runBlocking {
            val first = server.client.preparePost("${server.url}/v1/chat/completions") {
                header(REQUEST_ID_HEADER, "r1")
                setBody(body(tokens = 200, stream = true))
            }.execute { response ->
                val channel = response.bodyAsChannel()
                val firstLine = checkNotNull(channel.readLine())
                server.post("/streams/r1/cancel")
                (firstLine + "\n" + channel.readRemaining().readText()).toChunks()
            }
            val nextSequence = first.last().sequence + 1

            val rest = server.post("/streams/r1/resume?from=$nextSequence").bodyAsText().toChunks()

            assertEquals((0..200).toList(), (first + rest).map { it.sequence })
            assertEquals(prompt.answer(200), (first + rest).text())
        }
    }

    @Nested
    inner class Orders {
        @Test
        fun `an old fencing number is refused`(): Unit = runBlocking {
            fun order(revision: Int) = """{"type":"load_model","value":"m",
                "fencing":{"revision":$revision,"owner_offset":0}}"""

            assertEquals(202, server.post("/orders", order(2)).status.value)
            assertEquals(409, server.post("/orders", order(1)).status.value)
        }
    }

    @Nested
    inner class Control {
        @Test
        fun `a notice of leaving is in the load report`(): Unit = runBlocking {
            server.post("/control", """{"leaving":true}""")

            assertEquals("true", server.getJson("/load").jsonObject["leaving"].toString())
        }
    }
}
