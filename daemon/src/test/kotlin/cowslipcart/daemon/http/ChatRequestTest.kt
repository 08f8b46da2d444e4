package cowslipcart.daemon.http

import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertNull
import org.junit.jupiter.api.Nested

/** Guards against bodies that are misread or cause an exception. */
class ChatRequestTest {
    @Nested
    inner class Accepted {
        @Test
        fun `an endpoint gets the caller's fields and a stream`() {
            val chat =
                parse("""{"model":"m","messages":[{"role":"user","content":"a"}],"top_p":1}""")

            assertEquals(
                """{"model":"m","messages":[{"role":"user","content":"a"}],"top_p":1,"stream":true}""",
                chat.getOrNull()?.toEndpointBody()
            )
        }

        @Test
        fun `text parts are read`() {
            val chat = parse(
                """{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"a b"}]}]}"""
            )

            assertEquals("user: a b", chat.getOrNull()?.prompt)
        }
    }

    @Nested
    inner class Refused {
        @Test
        fun `each error names what was expected`() {
            val message = """"messages":[{"role":"user","content":"a"}]"""
            val faults = mapOf(
                "" to "expected JSON",
                "[]" to "expected a JSON object",
                "{$message}" to "model: expected a string",
                """{"model":"m"}""" to "messages: expected an array",
                """{"model":"m","messages":[]}""" to "at least one message",
                """{"model":"m","messages":[1]}""" to "messages[0]",
                """{"model":"m",$message,"stream":"yes"}""" to "stream: expected true or false",
                """{"model":"m",$message,"max_tokens":-1}""" to "max_tokens: expected 1 to",
                """{"model":"m",$message,"max_tokens":1e30}""" to "max_tokens: expected 1 to",
                """{"model":"m",$message,"model":"n"}""" to "found 'model' twice"
            )

            for ((body, expected) in faults) {
                assertContains(parse(body).leftOrNull()?.detail.orEmpty(), expected)
            }
        }

        @Test
        fun `invalid UTF-8 is refused`() {
            val body = byteArrayOf('"'.code.toByte(), 0xC3.toByte(), 0x28)

            assertEquals(
                "expected UTF-8, found other bytes",
                ChatRequest.parse(body).leftOrNull()?.detail
            )
        }
    }

    @Nested
    inner class DuplicateKeys {
        @Test
        fun `the same key in different objects is not a duplicate`() {
            assertNull(findDuplicateKey("""{"a":{"b":1},"c":[{"b":1},{"b":"\"a\":"}]}"""))
        }

        @Test
        fun `a nested duplicate is found`() {
            assertEquals("b", findDuplicateKey("""{"a":[{"b":1, "b" : 2}]}"""))
        }
    }

    private fun parse(body: String) = ChatRequest.parse(body.encodeToByteArray())
}
