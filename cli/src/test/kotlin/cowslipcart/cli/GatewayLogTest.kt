package cowslipcart.cli

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue
import org.junit.jupiter.api.Nested

class GatewayLogTest {
    private fun line(atMs: Long, message: String, vararg facts: Pair<String, String>): String {
        val list = facts.joinToString(",") { "{\"${it.first}\":\"${it.second}\"}" }
        return """host-1 | {"timestamp":$atMs,"kvpList": [$list],"message":"$message"}"""
    }

    private val lines = listOf(
        line(1_000, "belief", "subject" to "e1", "change" to "endpoint-draining"),
        line(1_500, "belief", "subject" to "e2", "change" to "endpoint-added"),
        line(2_000, "decision", "request" to "r1", "endpoint" to "e1"),
        line(2_100, "decision", "request" to "r2", "endpoint" to "e2"),
        line(2_200, "store-lost", "table" to "ENDPOINTS"),
        line(2_300, "answer", "request" to "r1", "status" to "502"),
        line(2_400, "store-regained", "table" to "ENDPOINTS")
    ).mapNotNull { parseGatewayLine("host-1.log", it) }

    @Nested
    inner class Explaining {
        @Test
        fun `the chain holds the request, its endpoint and the store`() {
            val chain = explainRequest("r1", lines).map { it.split(' ')[2] }
            assertEquals(listOf("belief", "decision", "store-lost", "answer"), chain)
        }

        @Test
        fun `an unknown request has no chain`() {
            assertTrue(explainRequest("r9", lines).isEmpty())
        }
    }

    @Nested
    inner class Parsing {
        @Test
        fun `other lines are left out`() {
            assertNull(parseGatewayLine("log", "text"))
            assertNull(parseGatewayLine("log", "{broken"))
            assertNull(parseGatewayLine("log", "{\"message\":\"no time\"}"))
        }
    }
}
