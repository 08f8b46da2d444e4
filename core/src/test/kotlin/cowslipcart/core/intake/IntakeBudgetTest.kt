package cowslipcart.core.intake

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import org.junit.jupiter.api.Nested

class IntakeBudgetTest {
    private val limits = IntakeLimits.of(HEAP_BYTES)
    private val budget = IntakeBudget(limits)

    private fun hold(client: String, bytes: Long, nowMs: Long = 0): HoldId {
        val id = budget.open(ClientAddress(client), nowMs)
        assertEquals(
            listOf<IntakeDecision>(IntakeDecision.Granted(id)),
            budget.request(id, bytes, nowMs)
        )
        return id
    }

    /** Opens a request and returns it with the decisions about what it asks for. */
    private fun ask(client: String, bytes: Long, nowMs: Long): Pair<HoldId, List<IntakeDecision>> {
        val id = budget.open(ClientAddress(client), nowMs)
        return id to budget.request(id, bytes, nowMs)
    }

    @Nested
    inner class Room {
        /** Guards against room that is taken twice, and against a waiter that nobody wakes. */
        @Test
        fun `a request waits until there is room`() {
            val first = hold("a", limits.largeRequestBytes)
            budget.complete(first)
            val (second, decisions) = ask("b", LARGEST_BYTES, 10)
            assertEquals(emptyList(), decisions)

            assertEquals(
                listOf<IntakeDecision>(IntakeDecision.Granted(second)),
                budget.release(first, 20)
            )
            assertEquals(LARGEST_BYTES, budget.heldBytes)
        }

        /** Guards against ordinary requests that are kept out by large ones in work. */
        @Test
        fun `a small request finds room beside large ones`() {
            budget.complete(hold("a", limits.largeRequestBytes))

            val (small, decisions) = ask("a", SMALL_BYTES, 10)
            assertEquals(listOf<IntakeDecision>(IntakeDecision.Granted(small)), decisions)
        }

        /** Guards against a request that was read, perhaps passed on, and is refused afterwards. */
        @Test
        fun `a request that was read whole is not refused`() {
            val first = hold("a", limits.largeRequestBytes)
            assertTrue(budget.complete(first))
            val (second, _) = ask("b", LARGEST_BYTES, 10)

            val decisions = budget.recheck(60_000)
            assertEquals(
                listOf<IntakeDecision>(IntakeDecision.Refused(second, RefusedIntake.NO_ROOM)),
                decisions
            )
        }

        @Test
        fun `pipelined bytes take no room from requests that wait`() {
            budget.complete(hold("a", limits.largeRequestBytes))
            val second = hold("a", SMALL_BYTES)
            assertTrue(budget.tryReserve(second, 1))
            ask("b", LARGEST_BYTES, 10)

            assertFalse(budget.tryReserve(second, 1))
        }
    }

    @Nested
    inner class Victims {
        /** Guards against bodies that stop just short of their end and keep their room. */
        @Test
        fun `the slowest of the stalled requests yields`() {
            val slower = hold("a", limits.largeRequestBytes / 2)
            val slow = hold("a", limits.largeRequestBytes / 2)
            budget.received(slower, 100, 1)
            budget.received(slow, 1_000_000, 100)

            val nowMs = 100 + limits.stallGraceMs
            val (waiter, decisions) = ask("a", LARGEST_BYTES, nowMs)
            assertEquals(
                listOf<IntakeDecision>(IntakeDecision.Refused(slower, RefusedIntake.STALLED)),
                decisions
            )
            assertFalse(budget.complete(slower), "was refused")
            assertEquals(
                listOf<IntakeDecision>(IntakeDecision.Granted(waiter)),
                budget.release(slower, nowMs)
            )
        }

        @Test
        fun `a request that arrives steadily does not yield to a large one`() {
            val steady = hold("a", limits.largeRequestBytes)
            val (waiter, _) = ask("a", LARGEST_BYTES, 0)
            val decisions = (1..6).flatMap {
                budget.received(steady, 1_000, it * 100L)
                budget.recheck(it * 100L)
            }
            assertEquals(emptyList(), decisions, "waiter $waiter")
        }

        @Test
        fun `a client over its share yields to another one`() {
            val old = hold("crowd", limits.largeRequestBytes / 2)
            val newest = hold("crowd", limits.largeRequestBytes / 2)

            val (_, decisions) = ask("other", LARGEST_BYTES, 10)
            assertEquals(
                listOf<IntakeDecision>(IntakeDecision.Refused(newest, RefusedIntake.CLIENT_SHARE)),
                decisions,
                "oldest: $old"
            )
        }
    }

    @Nested
    inner class Crowds {
        private fun assertAllReleased(simulation: IntakeSimulation) {
            assertEquals(0, simulation.heldBytes, "bytes held after the last request")
            assertEquals(0, simulation.requestCount, "requests after the last one ended")
        }

        /** Guards against half-received bodies that wait for each other for ever. */
        @Test
        fun `of a burst of large bodies as many are served as fit`() {
            val callers = List(40) { SimulatedCaller("crowd", LARGEST_BYTES.toInt(), 2_000) }
            assertAllReleased(IntakeSimulation(limits, callers).run(endMs = 40_000))

            val fitting = (limits.largeRequestBytes / LARGEST_BYTES).toInt()
            val servedCount = callers.count { it.isServed }
            assertTrue(servedCount >= fitting, "$servedCount served, $fitting fit at once")
            for (caller in callers) assertTrue(caller.isServed || caller.refusal != null, "$caller")
        }

        /** Guards against bodies that all wait although none of them can get any further. */
        @Test
        fun `bodies that wait for each other are decided about at once`() {
            val answered = SimulatedCaller("other", 300, 1_000, serveMs = 20_000)
            val crowd = List(12) { SimulatedCaller("crowd", LARGEST_BYTES.toInt(), 50_000) }
            IntakeSimulation(limits, listOf(answered) + crowd).run(endMs = 4_000)

            val firstRefusalAtMs = crowd.filter { it.refusal != null }.minOf { it.endedAtMs!! }
            assertTrue(firstRefusalAtMs < limits.maxWaitMs, "first one at $firstRefusalAtMs ms")
            assertTrue(crowd.any { it.completeAtMs != null }, "none read whole: $crowd")
        }

        /** Guards against ordinary callers that get no room beside bodies that never end. */
        @Test
        fun `ordinary requests are served beside bodies that stop short of their end`() {
            val crowd = List(400) {
                val size = if (it % 2 == 0) LARGEST_BYTES.toInt() else SMALL_BYTES.toInt()
                SimulatedCaller("crowd", size, 1_000, sentBytes = size - 1)
            }
            val ordinary = List(50) {
                SimulatedCaller("crowd", 2_000, 1_000, startMs = 200 + it * 100L)
            }
            assertAllReleased(IntakeSimulation(limits, crowd + ordinary).run(endMs = 40_000))

            for (caller in ordinary) assertTrue(caller.isServed, "$caller")
        }

        /** Guards against a host that closes its doors to everybody while one client fills it. */
        @Test
        fun `large bodies of others are served beside one client that fills the host`() {
            val crowd = List(200) {
                SimulatedCaller("crowd", LARGEST_BYTES.toInt(), 500, startMs = it * 50L)
            }
            val others = List(5) {
                SimulatedCaller(
                    "other",
                    LARGEST_BYTES.toInt(),
                    5_000,
                    startMs = 1_000 + it * 2_000L
                )
            }
            assertAllReleased(IntakeSimulation(limits, crowd + others).run(endMs = 60_000))

            for (caller in others) assertTrue(caller.isServed, "$caller")
        }

        /** Guards against room that is lost, and against a request without an end. */
        @Test
        fun `any crowd stays within the limit and ends`() {
            for (seed in 1..50) {
                val random = Random(seed)
                val callers = List(random.nextInt(1, 120)) { randomCaller(random) }
                assertAllReleased(IntakeSimulation(limits, callers).run(endMs = 80_000))
                for (caller in callers) assertTrue(caller.endedAtMs != null, "seed $seed: $caller")
            }
        }

        private fun randomCaller(random: Random): SimulatedCaller {
            val bodyBytes = if (random.nextBoolean()) {
                random.nextInt(1, LARGEST_BYTES.toInt())
            } else {
                random.nextInt(1, 80_000)
            }
            val stopsShort = random.nextInt(3) == 0
            return SimulatedCaller(
                client = "c${random.nextInt(4)}",
                bodyBytes = bodyBytes,
                bytesPerMs = random.nextInt(1, 5_000),
                sentBytes = if (stopsShort) random.nextInt(bodyBytes) else bodyBytes,
                startMs = random.nextLong(10_000),
                serveMs = random.nextLong(10_000)
            )
        }
    }

    private companion object {
        const val HEAP_BYTES = 72L * 1_024 * 1_024
        const val LARGEST_BYTES = 4_194_304L
        const val SMALL_BYTES = 72_000L
    }
}
