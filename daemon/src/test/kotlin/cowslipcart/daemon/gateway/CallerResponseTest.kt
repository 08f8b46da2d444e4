package cowslipcart.daemon.gateway

import cowslipcart.daemon.http1.Header
import cowslipcart.daemon.http1.Headers
import cowslipcart.daemon.http1.ResponseHead
import io.ktor.utils.io.ByteChannel
import io.ktor.utils.io.readRemaining
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlinx.coroutines.test.runTest
import kotlinx.io.readByteArray
import org.junit.jupiter.api.Nested

class CallerResponseTest {
    private val channel = ByteChannel()
    private val head =
        ResponseHead(200, "OK", Headers(listOf(Header("Content-Type", "text/event-stream"))))

    private suspend fun written(): String {
        channel.flushAndClose()
        return channel.readRemaining().readByteArray().decodeToString()
    }

    private fun response(isHeadRequest: Boolean) =
        CallerResponse(ChannelSink(channel), isHeadRequest) { false }

    @Nested
    inner class Streamed {
        /** Guards against bytes that the caller takes for the answer to its next request. */
        @Test
        fun `the response to HEAD ends with its head`() = runTest {
            val response = response(isHeadRequest = true)
            response.writeStreamed(head, ByteArray(0))
            response.finish()

            val text = written()
            assertTrue("Transfer-Encoding: chunked" in text, text)
            assertEquals(text.length, text.indexOf(HEAD_END) + HEAD_END.length, text)
            assertTrue(response.isConnectionReusable)
        }

        @Test
        fun `events of an endpoint that sends a body to HEAD are left out`() = runTest {
            val response = response(isHeadRequest = true)
            response.writeStreamed(head, "data: x".toByteArray())
            response.finish()

            val text = written()
            assertEquals(text.length, text.indexOf(HEAD_END) + HEAD_END.length, text)
        }

        @Test
        fun `the response to other methods ends with the last chunk`() = runTest {
            val response = response(isHeadRequest = false)
            response.writeStreamed(head, "data: x".toByteArray())
            response.finish()

            assertTrue(written().endsWith("7\r\ndata: x\r\n0\r\n\r\n"))
        }
    }

    private companion object {
        const val HEAD_END = "\r\n\r\n"
    }
}
