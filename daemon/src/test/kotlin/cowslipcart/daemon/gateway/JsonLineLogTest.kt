package cowslipcart.daemon.gateway

import java.io.ByteArrayOutputStream
import java.io.OutputStream
import java.util.concurrent.CountDownLatch
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.junit.jupiter.api.Nested

class JsonLineLogTest {
    private val output = ByteArrayOutputStream()
    private val log = JsonLineLog(output)

    private fun written(): List<String> {
        log.stop(TIMEOUT_MS)
        return output.toString(Charsets.UTF_8).lines().filter { it.isNotEmpty() }
    }

    @Nested
    inner class Format {
        /** Guards against lines that the tools of the product can't read any more. */
        @Test
        fun `a line has the fields that the tools read`() {
            log.write(5, LogLevel.INFO, "gateway", "start", listOf("atMs" to 7L, "host" to null))

            val line =
                "{\"timestamp\":5,\"level\":\"INFO\",\"loggerName\":\"gateway\",\"kvpList\": " +
                    "[{\"atMs\":\"7\"},{\"host\":\"null\"}],\"message\":\"start\",\"throwable\":null}"
            assertEquals(listOf(line), written())
        }

        /** Guards against callers whose headers break a line. */
        @Test
        fun `any text is a valid string`() {
            val text = (0..300).joinToString("") { "${it.toChar()}" } + "\ud83d\ude00"
            log.write(5, LogLevel.WARN, text, text, listOf(text to text))

            val json = Json.parseToJsonElement(written().single()).jsonObject
            assertEquals(text, json.getValue("message").jsonPrimitive.content)
            val field = json.getValue("kvpList").jsonArray.single().jsonObject
            assertEquals(text, field.getValue(text).jsonPrimitive.content)
        }

        @Test
        fun `an exception is described`() {
            log.write(5, LogLevel.ERROR, "g", "m", emptyList(), IllegalStateException("broken"))

            val json = Json.parseToJsonElement(written().single()).jsonObject
            assertTrue("broken" in json.getValue("throwable").jsonPrimitive.content)
            assertNull(json.getValue("throwable").takeIf { it is JsonNull })
        }
    }

    @Nested
    inner class Overload {
        /** Guards against requests that wait for an output that nobody reads. */
        @Test
        fun `lines are dropped and counted while the output does not keep up`() {
            val isOpen = CountDownLatch(1)
            val stuck = object : OutputStream() {
                override fun write(byte: Int) = isOpen.await()
            }
            val stuckLog = JsonLineLog(stuck)
            repeat(5_000) { stuckLog.write(5, LogLevel.INFO, "g", "m$it", emptyList()) }

            assertTrue(stuckLog.droppedCount > 1_000, "${stuckLog.droppedCount}")
            isOpen.countDown()
        }

        @Test
        fun `all lines are written in order when the log stops`() {
            repeat(500) { log.write(5, LogLevel.INFO, "g", "m$it", emptyList()) }

            val numbers = written().map { line ->
                Json.parseToJsonElement(line).jsonObject.getValue("message").jsonPrimitive.content
            }
            assertEquals((0 until 500).map { "m$it" }, numbers)
        }
    }

    private companion object {
        const val TIMEOUT_MS = 5_000L
    }
}
