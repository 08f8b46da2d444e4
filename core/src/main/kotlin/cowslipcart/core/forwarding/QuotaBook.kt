package cowslipcart.core.forwarding

import cowslipcart.core.model.HostId
import cowslipcart.core.model.OrganisationId
import cowslipcart.core.routing.OrganisationAccess
import cowslipcart.core.routing.QuotaUnit
import cowslipcart.core.routing.TokenQuota

/** Limits of all organisations that have one. */
internal class QuotaBook(private val startShare: Double) {
    private val quotas = mutableMapOf<OrganisationId, TokenQuota>()
    private val buckets = mutableMapOf<OrganisationId, SharedQuota>()

    /** Totals of this host since its start, by organisation. */
    fun ownUse(): Map<OrganisationId, Double> =
        buckets.filterValues { it.ownUsed != 0.0 }.mapValues { it.value.ownUsed }

    fun onOrganisations(organisations: Collection<OrganisationAccess>, nowMs: Long) {
        quotas.clear()
        for (organisation in organisations) {
            val quota = organisation.quota ?: continue
            quotas[organisation.id] = quota
            val bucket = buckets[organisation.id]
            if (bucket == null) {
                buckets[organisation.id] = SharedQuota(quota, startShare, nowMs)
            } else {
                bucket.change(quota)
            }
        }
    }

    /** Units that [call] counts as; 0 without a limit. */
    fun costOf(call: ForwardedCall): Double {
        val quota = call.organisation?.let { quotas[it] } ?: return 0.0
        return when (quota.unit) {
            QuotaUnit.REQUESTS -> 1.0

            QuotaUnit.TOKENS ->
                (call.statedSize?.totalTokens ?: quota.plainRequestTokens).toDouble()
        }
    }

    /** Units that are taken as left for the organisation of [call]; null without a limit. */
    fun left(call: ForwardedCall): Long? {
        val organisation = call.organisation ?: return null
        return if (organisation in quotas) buckets.getValue(organisation).left.toLong() else null
    }

    fun tryTake(call: ForwardedCall, hosts: HostCounts, nowMs: Long): SharedQuota.Admission {
        val organisation = call.organisation
        if (organisation == null || organisation !in quotas) return SharedQuota.Admission.Taken
        val cost = costOf(call)
        val costShare = cost / quotas.getValue(organisation).burst
        val reservedShare = AdmissionRule.reservedQuotaShare(call.rankInPool, costShare)
        return buckets.getValue(organisation).tryTake(cost, hosts, nowMs, reservedShare)
    }

    fun giveBack(call: ForwardedCall) {
        val organisation = call.organisation ?: return
        if (organisation in quotas) buckets.getValue(organisation).giveBack(costOf(call))
    }

    fun onPeerUse(host: HostId, use: Map<OrganisationId, Double>, isRestarted: Boolean) {
        for ((organisation, bucket) in buckets) {
            if (isRestarted) bucket.onPeerRestarted(host)
            bucket.onPeerUse(host, use[organisation] ?: 0.0)
        }
    }
}
