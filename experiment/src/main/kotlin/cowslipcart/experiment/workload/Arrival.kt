package cowslipcart.experiment.workload

import cowslipcart.core.capacity.CapacityRequest
import cowslipcart.core.model.OrganisationId
import cowslipcart.core.model.PrefixBlock
import cowslipcart.core.model.RequestId
import kotlin.math.ln
import kotlin.random.Random

/**
 * One request of a caller.
 *
 * @property host index of the origin host, from 0
 * @property outputTokens actual length of the answer; the scheduler only gets the tier's mean
 */
public data class Arrival(
    public val requestId: RequestId,
    public val atMs: Long,
    public val host: Int,
    public val organisation: OrganisationId,
    public val tier: TierLoad,
    public val promptTokens: Int,
    public val outputTokens: Int,
    public val prefixBlocks: List<PrefixBlock>
)

/** Generates the arrivals of [workload]; the same seed gives the same arrivals. */
public fun generateArrivals(workload: Workload, seed: Long): List<Arrival> =
    ArrivalGenerator(workload, Random(seed)).generate()

private class ArrivalGenerator(private val workload: Workload, private val random: Random) {
    private val capacityPerS = workload.capacityPerS()
    private val salt = random.nextLong()
    private val historyTokens = workload.organisations.associate { organisation ->
        organisation.id to List(workload.prompts.customersPerOrganisation) {
            workload.prompts.historyTokens.draw(random)
        }
    }

    fun generate(): List<Arrival> {
        val arrivals = mutableListOf<Arrival>()
        var atMs = nextArrivalMs(0.0)
        while (atMs < workload.durationMs) {
            arrivals += drawArrival(arrivals.size, atMs.toLong())
            atMs = nextArrivalMs(atMs)
        }
        return arrivals
    }

    /**
     * Draws the next arrival of a Poisson process with a rate that is constant between the starts
     * and ends of bursts, by thinning a process at the highest rate.
     */
    private fun nextArrivalMs(afterMs: Double): Double {
        val peakLoad = (workload.load.bursts.map { it.load } + workload.load.base).max()
        var atMs = afterMs
        do {
            atMs += -ln(1 - random.nextDouble()) / (peakLoad * capacityPerS) * 1000
        } while (atMs < workload.durationMs && random.nextDouble() * peakLoad >= loadAt(atMs))
        return atMs
    }

    private fun loadAt(atMs: Double): Double =
        workload.load.bursts.firstOrNull { atMs >= it.fromMs && atMs < it.untilMs }?.load
            ?: workload.load.base

    private fun drawArrival(index: Int, atMs: Long): Arrival {
        val tier = workload.tiers.pick(random) { it.share }
        val organisation = workload.organisations.pick(random) { it.share }.id
        val isLong = random.nextDouble() < tier.longShare
        val host = random.nextInt(workload.hosts)
        val outputTokens = tier.outputTokens.draw(random)
        val customer = random.nextInt(workload.prompts.customersPerOrganisation)
        val history = if (isLong) historyTokens.getValue(organisation)[customer] else 0
        val ownTokens = if (isLong) workload.prompts.questionTokens else workload.prompts.chatTokens
        val promptTokens = history + ownTokens.draw(random)
        return Arrival(
            requestId = RequestId("r${index + 1}"),
            atMs = atMs,
            host = host,
            organisation = organisation,
            tier = tier,
            promptTokens = promptTokens,
            outputTokens = outputTokens,
            prefixBlocks = prefixBlocks(organisation, customer, index, history, promptTokens)
        )
    }

    /**
     * Blocks of the history are equal for all requests of a customer; those after it are unique to
     * the request.
     */
    private fun prefixBlocks(
        organisation: OrganisationId,
        customer: Int,
        index: Int,
        historyTokens: Int,
        promptTokens: Int
    ): List<PrefixBlock> {
        val historyBlocks = historyTokens / CapacityRequest.PREFIX_BLOCK_TOKENS
        val historyKey = mix(salt + organisation.value.hashCode() * 1_000L + customer)
        val ownKey = mix(salt xor (index + 1L))
        return List(promptTokens / CapacityRequest.PREFIX_BLOCK_TOKENS) { block ->
            PrefixBlock(mix((if (block < historyBlocks) historyKey else ownKey) + block))
        }
    }
}

/** Draws an element with its [share] as probability; the shares add up to 1. */
private fun <T> List<T>.pick(random: Random, share: (T) -> Double): T {
    var left = random.nextDouble()
    return firstOrNull {
        left -= share(it)
        left < 0
    } ?: last()
}

/** Finalizer of SplitMix64: spreads consecutive numbers over 64 bits. */
private fun mix(value: Long): Long {
    var z = value * -7046029254386353131L
    z = (z xor (z ushr 30)) * -4658895280553007687L
    z = (z xor (z ushr 27)) * -7723592293110705685L
    return z xor (z ushr 31)
}
