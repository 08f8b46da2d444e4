package cowslipcart.daemon.gateway

import kotlin.test.Test
import kotlin.test.assertFailsWith
import org.junit.jupiter.api.Nested

class BufferBudgetTest {
    private val budget = BufferBudget(maxBytes = 1_000_000)

    @Nested
    inner class UsedUp {
        /** Guards against short answers of sound endpoints that fail beside endless ones. */
        @Test
        fun `a short response is received while a long one exceeds the budget`() {
            val long = budget.Reservation()
            assertFailsWith<BufferBudgetException> { long.add(2_000_000) }

            budget.Reservation().add(1_000)
        }

        @Test
        fun `a long response is received once the other one has given its bytes back`() {
            val long = budget.Reservation()
            assertFailsWith<BufferBudgetException> { long.add(2_000_000) }
            assertFailsWith<BufferBudgetException> { budget.Reservation().add(100_000) }
            long.release()

            budget.Reservation().add(100_000)
        }
    }
}
