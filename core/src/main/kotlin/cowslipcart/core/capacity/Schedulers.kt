package cowslipcart.core.capacity

import kotlin.random.Random

/**
 * Creates the scheduler of one shard.
 *
 * @param random source of the random choices and of the part of grant ids that tells this owner
 * from earlier ones
 * @param rebuild whether the shard had another owner before; lower tiers then wait for 1 s until
 * the origins have reported their running requests
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
