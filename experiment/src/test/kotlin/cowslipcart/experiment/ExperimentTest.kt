package cowslipcart.experiment

import cowslipcart.core.capacity.CapacityRequest
import cowslipcart.core.capacity.GrantReport
import cowslipcart.core.capacity.RefusalReason
import cowslipcart.core.capacity.SchedulerDecision
import cowslipcart.core.capacity.SchedulerPolicy.CowslipCart
import cowslipcart.core.capacity.SchedulerPolicy.TwoRandomChoices
import cowslipcart.core.capacity.ShardScheduler
import cowslipcart.core.capacity.createShardScheduler
import cowslipcart.core.model.GrantId
import cowslipcart.core.model.Tier
import cowslipcart.experiment.result.ExperimentResult
import cowslipcart.experiment.result.encodeResult
import cowslipcart.experiment.sim.SchedulerFactory
import cowslipcart.experiment.workload.Fault
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotEquals
import kotlin.test.assertTrue
import org.junit.jupiter.api.Nested

class ExperimentTest {
    /** Guards against hidden inputs such as the wall clock or the order of a hash table. */
    @Nested
    inner class Determinism {
        @Test
        fun `the same seed gives the same bytes`() {
            for (policy in listOf(CowslipCart, TwoRandomChoices)) {
                val first = encodeResult(runExperiment(SMALL_WORKLOAD, policy, SEED))
                val second = encodeResult(runExperiment(SMALL_WORKLOAD, policy, SEED))

                assertEquals(first, second)
            }
        }

        @Test
        fun `another seed gives other results`() {
            val first = runExperiment(SMALL_WORKLOAD, CowslipCart, SEED)
            val second = runExperiment(SMALL_WORKLOAD, CowslipCart, SEED + 1)

            assertNotEquals(first.tiers, second.tiers)
        }
    }

    /** Guards against requests that are lost or counted twice by the simulation. */
    @Nested
    inner class Accounting {
        @Test
        fun `counts only the selected tier in an empty system`() {
            val all = runExperiment(SMALL_WORKLOAD, CowslipCart, SEED)
            val top = runExperiment(SMALL_WORKLOAD, CowslipCart, SEED, Tier(0))

            assertEquals(all.tiers.getValue("top").offered, top.tiers.getValue("top").offered)
            assertEquals(0, top.tiers.getValue("bulk").offered)
        }

        @Test
        fun `answers no more requests in time than were offered`() {
            val result = runExperiment(SMALL_WORKLOAD, CowslipCart, SEED)

            assertTrue(result.tiers.values.all { it.answeredInTime in 1..it.offered }, "$result")
        }

        @Test
        fun `continues under a new owner when the owner host is killed`() {
            val workload = SMALL_WORKLOAD.copy(faults = listOf(Fault.KillHost(1, atMs = 2_000)))
            val result = runExperiment(workload, CowslipCart, SEED)
            val lateGoodput = result.tiers.getValue("top").answeredInTime
            val before = runExperiment(workload.copy(durationMs = 2_000), CowslipCart, SEED)

            assertTrue(lateGoodput > before.tiers.getValue("top").answeredInTime, "$result")
        }
    }

    /** Guards against a checker that finds no breach whatever the policy does. */
    @Nested
    inner class FaultyPolicies {
        @Test
        fun `a policy that sheds the top tier first breaches the shed rule`() {
            val result = runFaulty(::ShedsTopTierFirst)

            assertTrue(result.shedRuleBreaches > 0, "expected breaches, got $result")
        }

        @Test
        fun `a policy that moves a cancelled stream breaches the dispatch rule`() {
            val result = runFaulty(::MovesCancelledStreams)

            assertTrue(result.dispatchBreaches > 0, "expected breaches, got $result")
        }

        private fun runFaulty(wrap: (ShardScheduler) -> ShardScheduler): ExperimentResult {
            val factory = SchedulerFactory { policy, config, random, rebuild ->
                wrap(createShardScheduler(policy, config, random, rebuild))
            }
            return runExperiment(SMALL_WORKLOAD, CowslipCart, SEED, factory = factory)
        }
    }

    private class ShedsTopTierFirst(private val scheduler: ShardScheduler) :
        ShardScheduler by scheduler {
        override fun submit(request: CapacityRequest, nowMs: Long): List<SchedulerDecision> =
            if (request.tier == Tier(0) && nowMs > 4_000) {
                listOf(SchedulerDecision.Refuse(request, RefusalReason.SHARD_FULL, 1_000))
            } else {
                scheduler.submit(request, nowMs)
            }
    }

    /** Preempts each grant at once and resumes the stream on the other endpoint. */
    private class MovesCancelledStreams(private val scheduler: ShardScheduler) :
        ShardScheduler by scheduler {
        private val endpoints = SMALL_WORKLOAD.endpointIds

        override fun submit(request: CapacityRequest, nowMs: Long): List<SchedulerDecision> {
            val resumeOn = request.resumeOn
            if (resumeOn != null) {
                val other = endpoints.first { it != resumeOn }
                val id = GrantId("moved-${request.requestId}")
                return listOf(SchedulerDecision.Grant(request, id, other, endpoints, "faulty"))
            }
            return scheduler.submit(request, nowMs).flatMap { decision ->
                if (decision is SchedulerDecision.Grant) {
                    val endpoint = decision.endpoint
                    val preemption =
                        SchedulerDecision.Preempt(decision.request, decision.grantId, endpoint)
                    listOf(decision, preemption)
                } else {
                    listOf(decision)
                }
            }
        }

        override fun onPreempted(
            report: GrantReport,
            resume: CapacityRequest?,
            nowMs: Long
        ): List<SchedulerDecision> = resume?.let { submit(it, nowMs) } ?: emptyList()
    }

    private companion object {
        const val SEED = 7L
    }
}
