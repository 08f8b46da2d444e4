package cowslipcart.core.capacity

import kotlin.random.Random

/**
 * Creates the scheduler of one shard.
 *
 * @param random source of random choices and of the prefix that keeps the grant ids of this owner
 * distinct from those of earlier owners
 * @param rebuild whether the shard had an earlier owner; lower tiers then wait for 1 s, in which
 * the origins report their running requests
 */
public fun createShardScheduler(
    policy: SchedulerPolicy,
    config: ShardConfig,
    random: Random,
    rebuild: Boolean
): ShardScheduler = when (policy) {
    SchedulerPolicy.RoundRobin -> BaselineScheduler(config, random, RoundRobinChoice())
    SchedulerPolicy.LeastReportedLoad -> BaselineScheduler(config, random, LeastReportedChoice())
    SchedulerPolicy.TwoRandomChoices -> BaselineScheduler(config, random, TwoRandomChoice(random))
    SchedulerPolicy.CowslipCart -> CowslipCartScheduler(config, random, rebuild)
}
