package cowslipcart.systemtest.crowd

import cowslipcart.systemtest.GatewayCluster
import cowslipcart.systemtest.HttpCaller
import cowslipcart.systemtest.HttpRequestData
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Nested

/** Guards against limits that also refuse a single request with the largest legal body. */
class CalmBodyTest {
    private val machine = CrowdMachine.LOWERED
    private val fixture = CrowdFixture(machine)

    @AfterTest
    fun stop() = fixture.close()

    @Nested
    inner class SingleRequest {
        @Test
        fun `the largest body with a length is answered`(): Unit = runBlocking(Dispatchers.IO) {
            val gateway = fixture.start()
            val headers = listOf(
                "Host" to "shop.example",
                "Attempt-Id" to "largest",
                "Deadline-Ms" to "30000",
                "Api-Key" to GatewayCluster.KEY
            )
            val url = "http://127.0.0.1:${gateway.frontPort}/order/largest"
            val body = ByteArray(machine.bodyBytes)
            val answer = HttpCaller.send(HttpRequestData(url, "POST", headers, body))

            assertEquals(200, answer.status)
        }

        @Test
        fun `the largest body in chunks is answered`(): Unit = runBlocking(Dispatchers.IO) {
            val gateway = fixture.start()
            val framing = "Transfer-Encoding: chunked\r\nConnection: close\r\n"
            val body = chunks(machine.bodyBytes.toLong(), CHUNK_BYTES)
                .fold(ByteArray(0)) { sent, chunk -> sent + chunk }
            val request = requestHead("chunked", framing) + body + "0\r\n\r\n".toByteArray()
            val answer = gateway.sendRaw(request.decodeToString())

            assertTrue(answer.startsWith("HTTP/1.1 200"), answer.take(ANSWER_CHARS))
        }
    }

    private companion object {
        const val CHUNK_BYTES = 16_384
        const val ANSWER_CHARS = 200
    }
}
