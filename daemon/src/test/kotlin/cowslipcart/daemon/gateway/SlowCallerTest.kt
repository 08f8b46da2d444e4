package cowslipcart.daemon.gateway

import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import org.junit.jupiter.api.Nested

/** Guards against answers that are complete and do not reach a caller that reads them slowly. */
class SlowCallerTest {
    private val resources = mutableListOf<AutoCloseable>()

    private fun <T : AutoCloseable> T.closedAfterwards(): T = also { resources += it }

    @AfterTest
    fun closeAll() = resources.reversed().forEach { it.close() }

    @Nested
    inner class Deadline {
        @Test
        fun `a complete answer is delivered although it takes longer than the deadline`() {
            val head = "HTTP/1.1 200 OK\r\nContent-Length: $BODY_BYTES\r\n\r\n"
            val endpoint = RawEndpoint(response = head + "x".repeat(BODY_BYTES)).closedAfterwards()
            val fixture = SessionFixture(endpoint.port, timeoutMs = TIMEOUT_MS).closedAfterwards()
            val caller = fixture.sendRequest(bodyBytes = 1).closedAfterwards()
            Thread.sleep(2 * TIMEOUT_MS)
            caller.soTimeout = LIMIT_MS
            val input = caller.getInputStream()
            val received = input.readNBytes(head.length + BODY_BYTES)

            assertEquals(head.length + BODY_BYTES, received.size)
        }
    }

    private companion object {
        /** Exceeds what the kernel holds for a caller that reads nothing. */
        const val BODY_BYTES = 7_900_000
        const val TIMEOUT_MS = 1_000L
        const val LIMIT_MS = 5_000
    }
}
