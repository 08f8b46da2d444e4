package cowslipcart.core.host

import cowslipcart.core.limits.QuotaDecision
import cowslipcart.core.limits.createQuotaClient
import cowslipcart.core.limits.createQuotaHolder
import cowslipcart.core.membership.MembershipView
import cowslipcart.core.membership.rendezvousOwner
import cowslipcart.core.model.Configuration
import cowslipcart.core.model.HostId
import cowslipcart.core.model.OrganisationId
import cowslipcart.core.origin.CallerRequest

/**
 * Enforces the token limits of organisations. As a client it spends chunks of tokens for requests
 * of this host; as the holder of an organisation's limit it grants chunks to the hosts that ask.
 */
internal class QuotaHandler(private val membership: MembershipView, private val outbox: Outbox) {
    private val client = createQuotaClient()
    private val holder = createQuotaHolder()
    private val askedAtMs = HashMap<OrganisationId, Long>()

    /**
     * Returns null if [request] is within its limit, else after how many ms a retry can succeed.
     */
    fun admit(request: CallerRequest, configuration: Configuration, nowMs: Long): Long? {
        val limit = limitOf(request.organisation, request, configuration) ?: return null
        val cost = (request.prefillTokens + request.outputTokens).toLong()
        val hostCount = membership.ownerCandidates.size.coerceAtLeast(1)
        val decision = client.admit(request.organisation, cost, limit, hostCount, nowMs)
        return when (decision) {
            is QuotaDecision.Admit -> {
                sendAsk(request.organisation, decision.askTokens, nowMs)
                null
            }

            is QuotaDecision.Refuse -> {
                sendAsk(request.organisation, decision.askTokens, nowMs)
                decision.retryAfterMs
            }
        }
    }

    /** Grants a chunk to [from] as the holder; ignored if the organisation has no limit. */
    fun onAsk(from: HostId, ask: PeerMessage.QuotaAsk, configuration: Configuration, nowMs: Long) {
        val limit = configuration.findOrganisation(ask.organisation)?.limitTokensPerS ?: return
        val granted = holder.take(ask.organisation, ask.askedTokens, limit, nowMs)
        outbox.send(from, PeerMessage.QuotaGranted(ask.organisation, granted))
    }

    fun onGranted(granted: PeerMessage.QuotaGranted, nowMs: Long) {
        askedAtMs.remove(granted.organisation)
        client.onGranted(granted.organisation, granted.grantedTokens, nowMs)
    }

    /** Reports a holder that has not answered in time as lost. */
    fun tick(nowMs: Long) {
        val lost = askedAtMs.filterValues { nowMs - it >= HOLDER_TIMEOUT_MS }.keys.toList()
        for (organisation in lost) {
            askedAtMs.remove(organisation)
            client.onHolderLost(organisation, nowMs)
        }
    }

    /** Asks the holder for [tokens]; does nothing if there are none to ask for. */
    private fun sendAsk(organisation: OrganisationId, tokens: Long, nowMs: Long) {
        if (tokens <= 0) return
        askedAtMs.putIfAbsent(organisation, nowMs)
        val holderHost = rendezvousOwner("quota/$organisation", membership.ownerCandidates)
        outbox.send(holderHost, PeerMessage.QuotaAsk(organisation, tokens))
    }

    /** Returns the limit in tokens per second, scaled by the preset; null if there is none. */
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
