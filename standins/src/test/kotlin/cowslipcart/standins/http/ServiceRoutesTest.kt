package cowslipcart.standins.http

import java.io.IOException
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.junit.jupiter.api.Nested

/** Guards against answers that say "not run" about a call that ran, or the reverse. */
class ServiceRoutesTest {
    private val runtime = ServiceRuntime(delayMs = 0, wallMs = { 7_000 }, journalFile = null)
    private val server = HttpTestServer { serviceRoutes(runtime) }

    @AfterTest
    fun close() {
        server.close()
        runtime.close()
    }

    private suspend fun signOff(key: String) =
        server.post("/sign-offs", "{}", mapOf("Idempotency-Key" to key))

    private suspend fun journalKeys() = server.getJson("/journal").jsonArray
        .map { it.jsonObject["idempotency_key"]?.jsonPrimitive?.content }

    @Nested
    inner class SignOffs {
        @Test
        fun `each call is in the journal with its key`(): Unit = runBlocking {
            assertEquals(201, signOff("k1").status.value)
            signOff("k1")

            assertEquals(listOf("k1", "k1"), journalKeys())
        }

        @Test
        fun `a refused call has the header and is not in the journal`(): Unit = runBlocking {
            server.post("/control", """{"refuse":true}""")

            val response = signOff("k1")

            assertEquals(503, response.status.value)
            assertEquals("true", response.headers[NOT_RUN_HEADER])
            assertEquals(emptyList(), journalKeys())
        }

        @Test
        fun `a lost answer closes the connection after the effect`(): Unit = runBlocking {
            server.post("/control", """{"fail_after_effect":true}""")

            assertFailsWith<IOException> { signOff("k1") }
            assertEquals(listOf("k1"), journalKeys())
        }
    }
}
