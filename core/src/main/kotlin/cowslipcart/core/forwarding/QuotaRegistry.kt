package cowslipcart.core.forwarding

import cowslipcart.core.model.HostId
import cowslipcart.core.model.OrganisationId
import cowslipcart.core.routing.OrganisationAccess
import cowslipcart.core.routing.QuotaSpec
import cowslipcart.core.routing.QuotaUnit

/**
 * Token buckets of all organisations that have a limit.
 *
 * @property startShare share of the burst that a new bucket holds
 */
internal class QuotaRegistry(private val startShare: Double) {
    private val quotas = mutableMapOf<OrganisationId, QuotaSpec>()
    private val buckets = mutableMapOf<OrganisationId, SharedQuota>()

    /** Units that this host has used since its start, by organisation. */
    fun unitsUsed(): Map<OrganisationId, Double> =
        buckets.filterValues { it.unitsUsed != 0.0 }.mapValues { it.value.unitsUsed }

    /** Replaces the limits; the buckets of known organisations keep their level. */
    fun onOrganisations(organisations: Collection<OrganisationAccess>, nowMs: Long) {
        quotas.clear()
        for (organisation in organisations) {
            val quota = organisation.quota ?: continue
            quotas[organisation.id] = quota
            val bucket = buckets[organisation.id]
            if (bucket == null) {
                buckets[organisation.id] = SharedQuota(quota, startShare, nowMs)
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
        val costShare = cost / quotas.getValue(organisation).burst
        val reservedShare = AdmissionRule.reservedQuotaShare(call.rankInPool, costShare)
        return buckets.getValue(organisation).tryTake(cost, hosts, nowMs, reservedShare)
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
