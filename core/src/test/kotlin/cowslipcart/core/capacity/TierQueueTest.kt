package cowslipcart.core.capacity

import cowslipcart.core.model.Tier
import kotlin.test.Test
import kotlin.test.assertEquals
import org.junit.jupiter.api.Nested

/** Guards against a queue order that is unfair between organisations or ignores deadlines. */
class TierQueueTest {
    private val queue = TierQueue(Tier(1))
    private var sequence = 0L

    private fun add(
        id: String,
        organisation: String = "a",
        tokens: Int = 100,
        deadlineMs: Long = Long.MAX_VALUE,
        firstTokenDueMs: Long = 1_000
    ): QueuedWork {
        val request = request(id, organisation = organisation, prefill = tokens, output = 0)
        val work = QueuedWork(request, sequence++, firstTokenDueMs, isCharged = false)
        work.deadlineMs = deadlineMs
        queue.add(work)
        return work
    }

    /** Serves [count] requests and returns their ids. */
    private fun serve(count: Int, weights: Map<String, Double> = emptyMap()): List<String> =
        List(count) {
            val work = queue.poll(nowMs = 500, hasLower = false)!!
            queue.charge(work, weights[work.request.organisation.value] ?: 1.0)
            work.request.requestId.value
        }

    @Nested
    inner class BetweenOrganisations {
        @Test
        fun `a large backlog does not delay another organisation`() {
            repeat(10) { add("a$it", "a") }
            add("b0", "b")
            assertEquals(listOf("a0", "b0", "a1"), serve(3))
        }

        @Test
        fun `shares follow tokens, not requests`() {
            repeat(8) { add("a$it", "a", tokens = 100) }
            repeat(8) { add("b$it", "b", tokens = 300) }
            assertEquals(2, serve(8).count { it.startsWith("b") })
        }

        @Test
        fun `shares follow weights`() {
            repeat(12) { add("a$it", "a") }
            repeat(12) { add("b$it", "b") }
            assertEquals(8, serve(12, mapOf("a" to 2.0)).count { it.startsWith("a") })
        }

        @Test
        fun `an idle organisation saves up no share`() {
            repeat(20) { add("a$it", "a") }
            serve(10)
            repeat(10) { add("b$it", "b") }
            assertEquals(3, serve(6).count { it.startsWith("b") })
        }

        @Test
        fun `a request that is put back keeps its place`() {
            add("a0", "a")
            repeat(3) { add("b$it", "b") }
            val work = queue.poll(nowMs = 0, hasLower = false)!!
            serve(2)
            queue.putBack(work)
            assertEquals(listOf("a0"), serve(1))
        }
    }

    @Nested
    inner class WithinOneOrganisation {
        @Test
        fun `the earliest deadline goes first`() {
            add("late", deadlineMs = 9_000)
            add("early", deadlineMs = 4_000)
            assertEquals(listOf("early", "late"), serve(2))
        }

        @Test
        fun `a request that missed its first-token target goes after one that has not`() {
            add("missed", deadlineMs = 4_000, firstTokenDueMs = 400)
            add("in-time", deadlineMs = 9_000, firstTokenDueMs = 600)
            assertEquals(listOf("in-time", "missed"), serve(2))
        }
    }

    @Nested
    inner class StartSoon {
        private val missed = add("missed", deadlineMs = 9_000, firstTokenDueMs = 400)

        init {
            missed.nextCheckMs = 8_000
            add("in-time", deadlineMs = 9_500)
            queue.putBack(queue.poll(nowMs = 450, hasLower = false)!!)
        }

        @Test
        fun `a late request that has to start soon goes first while lower tiers have work`() {
            val next = queue.poll(nowMs = 500, hasLower = true)
            assertEquals("missed", next?.request?.requestId?.value)
        }

        @Test
        fun `a late request goes after others while lower tiers have no work`() {
            val next = queue.poll(nowMs = 500, hasLower = false)
            assertEquals("in-time", next?.request?.requestId?.value)
        }
    }

    @Nested
    inner class Shedding {
        @Test
        fun `takes from the organisation with the longest queue`() {
            repeat(3) { add("a$it", "a") }
            add("b0", "b")
            assertEquals("a2", queue.findShedVictim()?.request?.requestId?.value)
        }
    }
}
