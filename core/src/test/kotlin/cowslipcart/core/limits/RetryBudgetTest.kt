package cowslipcart.core.limits

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import org.junit.jupiter.api.Nested

/** Guards against retries that grow with a fault instead of with the requests. */
class RetryBudgetTest {
    private val budget = RetryBudget()

    private fun spendAll(nowMs: Long): Int = generateSequence { budget.trySpend(nowMs) }
        .takeWhile { it }.count()

    @Nested
    inner class Share {
        @Test
        fun `retries are a tenth of the requests`() {
            repeat(500) { budget.recordRequest(nowMs = 9_000) }

            assertEquals(50, spendAll(nowMs = 9_000))
        }

        @Test
        fun `a host with few requests has a minimum number of retries`() {
            budget.recordRequest(nowMs = 0)

            assertEquals(RetryBudget.MIN_RETRIES, spendAll(nowMs = 0))
        }
    }

    @Nested
    inner class Window {
        @Test
        fun `requests stop counting after the window`() {
            repeat(500) { budget.recordRequest(nowMs = 0) }

            assertEquals(RetryBudget.MIN_RETRIES, spendAll(nowMs = RetryBudget.WINDOW_MS))
        }

        @Test
        fun `spent retries count until the window has passed`() {
            spendAll(nowMs = 0)

            assertFalse(budget.trySpend(RetryBudget.WINDOW_MS - 1))
            assertTrue(budget.trySpend(RetryBudget.WINDOW_MS))
        }

        @Test
        fun `counts are cleared after an idle time of many windows`() {
            spendAll(nowMs = 3_500)

            assertEquals(RetryBudget.MIN_RETRIES, spendAll(nowMs = 1_000_000))
        }
    }
}
