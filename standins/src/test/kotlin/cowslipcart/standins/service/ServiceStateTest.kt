package cowslipcart.standins.service

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import org.junit.jupiter.api.Nested

/** Guards against a journal that hides a repeated call. */
class ServiceStateTest {
    private val state = ServiceState()
    private val call = ServiceCall("POST", "/sign-offs", "key", null, "body")

    @Nested
    inner class Journal {
        @Test
        fun `a call with a repeated idempotency key gets its own entry and number`() {
            val answers = List(2) { assertIs<ServiceAnswer.Recorded>(state.run(call, 5).second) }

            assertEquals(listOf(1L, 2L), answers.map { it.number })
            assertEquals(listOf("key", "key"), state.journal.map { it.call.idempotencyKey })
        }
    }

    @Nested
    inner class Stock {
        @Test
        fun `the same item has the same quantity`() {
            val read = ServiceCall("GET", "/stock/laces", null, null, "")

            assertEquals(state.run(read, 0).second, state.run(read, 9).second)
        }
    }
}
