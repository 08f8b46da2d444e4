package cowslipcart.core.node

import cowslipcart.core.limits.QuotaDecision
import cowslipcart.core.limits.createQuotaClient
import cowslipcart.core.limits.createQuotaHolder
import cowslipcart.core.membership.MembershipView
import cowslipcart.core.membership.rendezvousOwner
import cowslipcart.core.model.Configuration
import cowslipcart.core.model.HostId
import cowslipcart.core.model.OrganisationId
import cowslipcart.core.origin.CallerRequest

/** Limits of organisations: spends chunks for own requests and hands out chunks as a holder. */
internal class QuotaDesk(private val membership: MembershipView, private val outbox: Outbox) {
    private val client = createQuotaClient()
    private val holder = createQuotaHolder()
    private val askedAtMs = HashMap<OrganisationId, Long>()

    /** Returns null if [request] is within its limit, else when a retry can help. */
    fun admit(request: CallerRequest, configuration: Configuration, nowMs: Long): Long? {
        val limit = limitOf(request.organisation, request, configuration) ?: return null
        val cost = (request.prefillTokens + request.outputTokens).toLong()
        val hostCount = membership.owners.size.coerceAtLeast(1)
        val decision = client.admit(request.organisation, cost, limit, hostCount, nowMs)
        return when (decision) {
            is QuotaDecision.Admit -> {
                ask(request.organisation, decision.askTokens, nowMs)
                null
            }

            is QuotaDecision.Refuse -> {
                ask(request.organisation, decision.askTokens, nowMs)
                decision.retryAfterMs
            }
        }
    }

    fun onAsk(from: HostId, ask: PeerMessage.QuotaAsk, configuration: Configuration, nowMs: Long) {
        val limit = configuration.findOrganisation(ask.organisation)?.limitTokensPerS ?: return
        val granted = holder.take(ask.organisation, ask.askedTokens, limit, nowMs)
        outbox.send(from, PeerMessage.QuotaGranted(ask.organisation, granted))
    }

    fun onGranted(granted: PeerMessage.QuotaGranted, nowMs: Long) {
        askedAtMs.remove(granted.organisation)
        client.onGranted(granted.organisation, granted.grantedTokens, nowMs)
    }

    fun tick(nowMs: Long) {
        val lost = askedAtMs.filterValues { nowMs - it >= HOLDER_TIMEOUT_MS }.keys.toList()
        for (organisation in lost) {
            askedAtMs.remove(organisation)
            client.onHolderLost(organisation, nowMs)
        }
    }

    private fun ask(organisation: OrganisationId, tokens: Long, nowMs: Long) {
        if (tokens <= 0) return
        askedAtMs.putIfAbsent(organisation, nowMs)
        val owner = rendezvousOwner("quota/$organisation", membership.owners)
        outbox.send(owner, PeerMessage.QuotaAsk(organisation, tokens))
    }

    private fun limitOf(
        organisation: OrganisationId,
        request: CallerRequest,
        configuration: Configuration
    ): Long? {
        val limit = configuration.findOrganisation(organisation)?.limitTokensPerS ?: return null
        val scale = configuration.preset?.tiers?.get(request.tier)?.limitScale ?: 1.0
        return (limit * scale).toLong()
    }

    private companion object {
        const val HOLDER_TIMEOUT_MS = 1_000L
    }
}
