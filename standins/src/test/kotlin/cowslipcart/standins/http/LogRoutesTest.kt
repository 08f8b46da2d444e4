package cowslipcart.standins.http

import cowslipcart.standins.log.LogStore
import cowslipcart.standins.log.LogStoreSettings
import io.ktor.client.statement.bodyAsText
import kotlin.random.Random
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlinx.coroutines.async
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import org.junit.jupiter.api.Nested

/** Guards against an HTTP log service that differs from its published interface. */
class LogRoutesTest {
    private val store = LogStore(LogStoreSettings(appendsPerS = 2.0))
    private val service = LogService(store, Random(1)) { 1_000 }
    private val server = HttpTestServer { logRoutes(service) }
    private val records = "/streams/config/records"

    @AfterTest
    fun close() {
        server.close()
        service.close()
    }

    private fun page(payload: String): JsonElement = Json.parseToJsonElement(
        """{"records":[{"offset":0,"appended_at_ms":1000,"payload":"$payload"}],
            "first_kept_offset":0,"end_offset":1}"""
    )

    @Nested
    inner class Records {
        @Test
        fun `bytes come back unchanged`(): Unit = runBlocking {
            val answer = server.post(records, byteArrayOf(0, -1)).bodyAsText()

            assertEquals("""{"offset":0,"appended_at_ms":1000}""", answer)
            assertEquals(page("AP8="), server.getJson("$records?from=0&max=5"))
        }

        @Test
        fun `a waiting read ends with the next append`(): Unit = runBlocking {
            val pendingRead = async { server.getJson("$records?from=0&wait_ms=30000") }
            service.waitingReads.first { it == 1 }
            server.post(records, "a")

            assertEquals(page("YQ=="), pendingRead.await())
        }

        @Test
        fun `appends beyond the rate get 429`(): Unit = runBlocking {
            val statuses = List(3) { server.post(records, "a").status.value }

            assertEquals(listOf(200, 200, 429), statuses)
        }
    }

    @Nested
    inner class Faults {
        @Test
        fun `a lost answer leaves the record in the stream`(): Unit = runBlocking {
            server.post("/faults", """{"lose_ack_rate":1}""")

            assertEquals(504, server.post(records, "a").status.value)
            assertEquals(page("YQ=="), server.getJson("$records?from=0"))
        }

        @Test
        fun `an outage ends a waiting read and writes nothing`(): Unit = runBlocking {
            val pendingRead = async { server.get("$records?from=0&wait_ms=30000").status.value }
            service.waitingReads.first { it == 1 }
            server.post("/faults", """{"outage":true}""")

            assertEquals(503, pendingRead.await())
            assertEquals(503, server.post(records, "a").status.value)
            server.post("/faults", """{"outage":false}""")
            assertEquals(
                """{"records":[],"first_kept_offset":0,"end_offset":0}""",
                server.get(records).bodyAsText()
            )
        }
    }
}
