package cowslipcart.core.capacity

import cowslipcart.core.model.GrantId
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals

/**
 * Guards against errors in queues, totals, bit sets and earmarks: the main policy has to make the
 * same decisions as [ReferenceScheduler] in generated cases.
 */
class ReferenceComparisonTest {
    private fun generateConfig(random: Random): ShardConfig {
        val specs = List(1 + random.nextInt(4)) {
            endpoint(
                id = "e$it",
                slots = 1 + random.nextInt(4),
                budgetTokens = 500L + random.nextInt(4_000),
                prefillPerS = listOf(500.0, 1_000.0, 4_000.0).random(random),
                decodePerS = listOf(10.0, 25.0, 50.0).random(random)
            ).copy(cacheTokens = 64L * (1 + random.nextInt(20)))
        }
        val unavailable = if (specs.size > 1 && random.nextInt(4) == 0) setOf("e0") else emptySet()
        return config(
            *specs.toTypedArray(),
            unavailable = unavailable,
            maxQueued = 1_000,
            reservedShare = listOf(0.0, 0.25, 0.5).random(random),
            weights = mapOf("o0" to 2.0)
        )
    }

    private fun generateRequest(id: String, random: Random): CapacityRequest {
        val family = random.nextInt(3) * 100
        return request(
            id,
            tier = random.nextInt(3),
            organisation = "o${random.nextInt(3)}",
            timeLeftMs = listOf(null, 5_000L, 20_000L).random(random),
            prefill = 1 + random.nextInt(2_000),
            output = 1 + random.nextInt(100),
            prefix = List(random.nextInt(12)) { family + it },
            isInterruptible = false
        )
    }

    private fun describe(decisions: List<SchedulerDecision>, grants: MutableMap<String, GrantId>) =
        decisions.map { decision ->
            val id = decision.request.requestId
            when (decision) {
                is SchedulerDecision.Grant -> {
                    grants[id.value] = decision.grantId
                    "grant $id on ${decision.endpoint}"
                }

                is SchedulerDecision.Refuse -> "refuse $id"

                is SchedulerDecision.Preempt -> "preempt $id"
            }
        }

    private fun compare(seed: Int): Int {
        val random = Random(seed)
        val config = generateConfig(random)
        val tested = schedulerOf(config)
        val reference = ReferenceScheduler(config, targetMs = 930)
        val grants = LinkedHashMap<String, GrantId>()
        var nowMs = 0L
        var count = 0
        repeat(80) { step ->
            // A case ends within 10 s, before unconfirmed grants count as lost.
            nowMs += random.nextLong(120)
            val running = grants.keys.randomOrNull(random)
            val action = random.nextInt(10)
            val (actual, expected) = when {
                action < 5 -> {
                    val request = generateRequest("r$step", random)
                    tested.submit(request, nowMs) to reference.submit(request, nowMs)
                }

                action < 8 && running != null -> {
                    val end = if (action == 7) GrantEnd.UNUSED else GrantEnd.CANCELLED
                    val grantId = grants.remove(running)!!
                    val id = request(running).requestId
                    tested.release(report(grantId, end), nowMs) to
                        reference.release(id, end != GrantEnd.UNUSED, nowMs)
                }

                action == 8 -> {
                    val id = request("r${random.nextInt(step + 1)}").requestId
                    tested.cancel(id, nowMs) to reference.cancel(id, nowMs)
                }

                else -> tested.tick(nowMs) to reference.dispatch(nowMs)
            }
            val actualDecisions = describe(actual, grants)
            assertEquals(expected, actualDecisions, "seed $seed, step $step, at $nowMs ms")
            count += actualDecisions.size
        }
        return count
    }

    @Test
    fun `makes the same decisions in 500 generated cases`() {
        val count = (1..CASES).sumOf(::compare)
        println("compared $count decisions in $CASES cases, seeds 1 to $CASES")
    }

    private companion object {
        const val CASES = 500
    }
}
