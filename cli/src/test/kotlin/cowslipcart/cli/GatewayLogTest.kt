package cowslipcart.cli

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue
import org.junit.jupiter.api.Nested

/** Guards against explanations that miss an event, and against lines that cannot be parsed. */
class GatewayLogTest {
    private fun line(atMs: Long, message: String, vararg fields: Pair<String, String>): String {
        val list = fields.joinToString(",") { "{\"${it.first}\":\"${it.second}\"}" }
        return """host-1 | {"timestamp":$atMs,"kvpList": [$list],"message":"$message"}"""
    }

    private val events = listOf(
        line(1_000, "belief", "subject" to "e1", "change" to "endpoint-draining"),
        line(1_500, "belief", "subject" to "e2", "change" to "endpoint-added"),
        line(2_000, "decision", "request" to "r1", "endpoint" to "e1"),
        line(2_100, "decision", "request" to "r2", "endpoint" to "e2"),
        line(2_200, "store-lost", "table" to "ENDPOINTS"),
        line(2_300, "answer", "request" to "r1", "status" to "502"),
        line(2_400, "store-regained", "table" to "ENDPOINTS")
    ).mapNotNull { parseGatewayEvent("host-1.log", it) }

    @Nested
    inner class Explaining {
        @Test
        fun `an explanation has the events of the request, its endpoint and the store`() {
            val explanation = explainRequest("r1", events).map { it.split(' ')[2] }
            assertEquals(listOf("belief", "decision", "store-lost", "answer"), explanation)
        }

        @Test
        fun `an unknown request has no explanation`() {
            assertTrue(explainRequest("r9", events).isEmpty())
        }
    }

    @Nested
    inner class Parsing {
        @Test
        fun `lines that are no events are left out`() {
            assertNull(parseGatewayEvent("log", "text"))
            assertNull(parseGatewayEvent("log", "{broken"))
            assertNull(parseGatewayEvent("log", "{\"message\":\"no time\"}"))
        }
    }
}
