package cowslipcart.core.forwarding

import cowslipcart.core.model.HostId
import cowslipcart.core.model.OrganisationId
import cowslipcart.core.routing.OrganisationAccess
import cowslipcart.core.routing.QuotaSpec
import cowslipcart.core.routing.QuotaUnit
import kotlin.random.Random

/**
 * Token buckets of all organisations that have a limit.
 *
 * @property startShare share of the burst that the first buckets hold
 * @property tolerance by how much the limits may be exceeded; null if that is not known
 */
internal class QuotaRegistry(
    private val startShare: Double,
    private val tolerance: QuotaTolerance? = null,
    private val random: Random = Random(0)
) {
    private val quotas = mutableMapOf<OrganisationId, QuotaSpec>()
    private val buckets = mutableMapOf<OrganisationId, SharedQuota>()
    private val demands = mutableMapOf<OrganisationId, QuotaDemand>()

    /** Units that this host has used since its start, by organisation. */
    fun unitsUsed(): Map<OrganisationId, Double> =
        buckets.filterValues { it.unitsUsed != 0.0 }.mapValues { it.value.unitsUsed }

    private var hasLimits = false

    /**
     * Replaces the limits; the buckets of known organisations keep their level. An organisation
     * that was not limited before has a full bucket, unless this host has just started.
     */
    fun onOrganisations(organisations: Collection<OrganisationAccess>, nowMs: Long) {
        val initialShare = if (hasLimits) 1.0 else startShare
        hasLimits = true
        quotas.clear()
        for (organisation in organisations) {
            val quota = organisation.quota ?: continue
            quotas[organisation.id] = quota
            val bucket = buckets[organisation.id]
            if (bucket == null) {
                buckets[organisation.id] = SharedQuota(quota, initialShare, nowMs)
            } else {
                bucket.setQuota(quota)
            }
        }
    }

    /** Units that [call] costs; 0 without a limit. */
    fun costOf(call: ForwardedCall): Double {
        val quota = call.organisation?.let { quotas[it] } ?: return 0.0
        return when (quota.unit) {
            QuotaUnit.REQUESTS -> 1.0

            QuotaUnit.TOKENS ->
                (call.statedSize?.totalTokens ?: quota.defaultRequestTokens).toDouble()
        }
    }

    /** Units left in the bucket of the organisation of [call]; null without a limit. */
    fun unitsLeft(call: ForwardedCall): Long? {
        val organisation = call.organisation ?: return null
        return if (organisation in quotas) buckets.getValue(organisation).left.toLong() else null
    }

    /** Takes the units of [call], or returns when they may be available. */
    fun tryTake(call: ForwardedCall, hosts: HostCounts, nowMs: Long): SharedQuota.Admission {
        val organisation = call.organisation
        if (organisation == null || organisation !in quotas) return SharedQuota.Admission.Taken
        val cost = costOf(call)
        val reserve = reserveFor(call, quotas.getValue(organisation), cost, nowMs)
        return buckets.getValue(organisation).tryTake(cost, hosts, nowMs, reserve)
    }

    private fun reserveFor(
        call: ForwardedCall,
        quota: QuotaSpec,
        cost: Double,
        nowMs: Long
    ): QuotaReserve {
        if (tolerance == null) {
            val costShare = cost / quota.burst
            return QuotaReserve.Kept(AdmissionRule.reservedQuotaShare(call.rankInPool, costShare))
        }
        val demand = demands.getOrPut(call.organisation!!) { QuotaDemand() }
        val urgency = demand.onAsked(call.pool, call.rankInPool, cost, nowMs)
        val excessUnits = tolerance.excessUnits(quota.ratePerS, quota.burst)
        return AdmissionRule.quotaReserve(urgency, quota.burst, excessUnits, random.nextDouble())
    }

    /** Returns the units of [call], which no endpoint ran. */
    fun giveBack(call: ForwardedCall) {
        val organisation = call.organisation ?: return
        if (organisation in quotas) buckets.getValue(organisation).giveBack(costOf(call))
    }

    /** Takes the reported usage of [host], a total since its start. */
    fun onPeerUse(
        host: HostId,
        use: Map<OrganisationId, Double>,
        isRestarted: Boolean,
        hosts: HostCounts,
        nowMs: Long
    ) {
        for ((organisation, bucket) in buckets) {
            if (isRestarted) bucket.onPeerRestarted(host)
            bucket.onPeerUse(host, use[organisation] ?: 0.0, hosts, nowMs)
        }
    }

    /** [host] is gone or silent, so nothing is assumed of what it uses beyond its share. */
    fun onPeerSilent(host: HostId) {
        for (bucket in buckets.values) bucket.onPeerSilent(host)
    }
}
