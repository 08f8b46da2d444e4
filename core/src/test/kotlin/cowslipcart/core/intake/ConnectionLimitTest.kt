package cowslipcart.core.intake

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import org.junit.jupiter.api.Nested

class ConnectionLimitTest {
    private val limits = IntakeLimits.of(HEAP_BYTES).copy(maxConnections = 3)
    private val limit = ConnectionLimit(limits)

    private fun open(): ConnectionAdmission.Accepted =
        assertIs<ConnectionAdmission.Accepted>(limit.open())

    @Nested
    inner class Full {
        @Test
        fun `the connection that is idle for longest is closed for a new one`() {
            val (first, second, third) = List(3) { open().id }
            limit.onReading(first)
            limit.onServing(first)
            limit.onIdle(first)

            for (oldest in listOf(second, third, first)) {
                assertEquals(oldest, open().closing)
                limit.onClosed(oldest)
            }
        }

        /** Guards against heads or bodies without an end that keep everybody else out. */
        @Test
        fun `without an idle one the oldest half-received request is closed`() {
            val ids = List(3) { open().id }
            for (id in ids) limit.onReading(id)

            assertEquals(ids.first(), open().closing)
        }

        /** Guards against requests that were passed on and lose their connection. */
        @Test
        fun `connections with requests in work are not closed`() {
            for (id in List(3) { open().id }) limit.onServing(id)

            assertEquals(ConnectionAdmission.Refused, limit.open())
        }

        /** Guards against a bound that new connections overrun while old ones are being closed. */
        @Test
        fun `connections that are being closed count up to a bound`() {
            repeat(1_000) { limit.open() }
            assertEquals(limits.maxConnections + 1, limit.openCount)

            assertEquals(ConnectionAdmission.Busy(null), limit.open())
        }

        /** Guards against requests that crossed a close and keep all new connections out. */
        @Test
        fun `another connection is closed for one whose request crossed the close`() {
            val first = open().id
            val (second, third) = List(2) { open().id }
            assertEquals(first, open().closing)
            limit.onReading(first)

            assertEquals(ConnectionAdmission.Busy(second), limit.open())
            assertEquals(ConnectionAdmission.Busy(null), limit.open())
            limit.onClosed(second)
            assertEquals(third, open().closing)
        }

        @Test
        fun `a request that crosses the close of its connection keeps it`() {
            val first = open().id
            repeat(2) { open() }
            assertEquals(first, open().closing)
            limit.onReading(first)
            limit.onServing(first)
            limit.onClosed(first)

            assertEquals(3, limit.openCount)
        }
    }

    private companion object {
        const val HEAP_BYTES = 72L * 1_024 * 1_024
    }
}
