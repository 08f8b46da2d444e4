package cowslipcart.core.limits

import cowslipcart.core.model.OrganisationId
import kotlin.math.ceil

/** Returns a client that has no tokens from a holder yet. */
public fun createQuotaClient(): QuotaClient = ChunkQuotaClient()

/**
 * Admits a request if the balance covers its cost, or covers one chunk if the cost is higher; the
 * balance may become negative. Until the first grant arrives, up to one chunk is spent on credit
 * and asked for afterwards, so that the first requests of an organisation do not wait.
 */
private class ChunkQuotaClient : QuotaClient {
    private val accounts = mutableMapOf<OrganisationId, Account>()
    private var sweptAtMs = 0L

    override fun admit(
        organisation: OrganisationId,
        costTokens: Long,
        limitTokensPerS: Long,
        liveHostCount: Int,
        nowMs: Long
    ): QuotaDecision {
        dropIdleAccounts(nowMs)
        val account = accounts.getOrPut(organisation) { Account(nowMs) }
        val shareTokensPerS = limitTokensPerS.toDouble() / maxOf(1, liveHostCount)
        val chunkTokens = shareTokensPerS * CHUNK_S
        account.refill(shareTokensPerS, chunkTokens, nowMs)
        val neededTokens = minOf(costTokens.toDouble(), chunkTokens)
        val availableTokens = account.balanceTokens + account.creditTokens(chunkTokens)
        val isAdmitted = limitTokensPerS > 0 && availableTokens >= neededTokens
        if (isAdmitted) account.balanceTokens -= costTokens
        val askTokens = if (limitTokensPerS > 0) account.ask(chunkTokens, nowMs) else 0
        return if (isAdmitted) {
            QuotaDecision.Admit(askTokens)
        } else {
            val missingTokens = neededTokens - availableTokens
            QuotaDecision.Refuse(askTokens, retryAfterMs(missingTokens, shareTokensPerS))
        }
    }

    override fun onGranted(organisation: OrganisationId, grantedTokens: Long, nowMs: Long) {
        val account = accounts.getOrPut(organisation) { Account(nowMs) }
        account.supply = Supply.HOLDER
        account.balanceTokens += grantedTokens
        account.askedAtMs = if (grantedTokens < account.askedTokens) nowMs else null
    }

    override fun onHolderLost(organisation: OrganisationId, nowMs: Long) {
        val account = accounts.getOrPut(organisation) { Account(nowMs) }
        if (account.supply != Supply.LOCAL) account.refilledAtMs = nowMs
        account.supply = Supply.LOCAL
    }

    private fun retryAfterMs(missingTokens: Double, shareTokensPerS: Double): Long =
        if (shareTokensPerS <= 0) {
            MAX_RETRY_MS
        } else {
            ceil(missingTokens * MS_PER_S / shareTokensPerS).toLong()
                .coerceIn(MIN_RETRY_MS, MAX_RETRY_MS)
        }

    private fun dropIdleAccounts(nowMs: Long) {
        if (nowMs - sweptAtMs < IDLE_MS) return
        sweptAtMs = nowMs
        accounts.values.removeIf { nowMs - it.usedAtMs >= IDLE_MS }
    }

    private enum class Supply {
        /** No grant has arrived yet. */
        CREDIT,

        /** The holder grants chunks. */
        HOLDER,

        /** The holder does not answer; the balance refills at this host's share of the limit. */
        LOCAL
    }

    private class Account(var usedAtMs: Long) {
        var balanceTokens = 0.0
        var supply = Supply.CREDIT
        var refilledAtMs = usedAtMs
        var askedTokens = 0L

        /** Time of an ask without a full grant; null if the next one may be sent at once. */
        var askedAtMs: Long? = null

        /** Tokens that may be spent before the first grant. */
        fun creditTokens(chunkTokens: Double): Double =
            if (supply == Supply.CREDIT) chunkTokens else 0.0

        fun refill(shareTokensPerS: Double, chunkTokens: Double, nowMs: Long) {
            if (supply == Supply.LOCAL) {
                balanceTokens += shareTokensPerS * (nowMs - refilledAtMs) / MS_PER_S
                refilledAtMs = nowMs
            }
            // A lowered limit or a repeated grant must not leave more than two chunks here.
            balanceTokens = balanceTokens.coerceAtMost(MAX_CHUNKS * chunkTokens)
            usedAtMs = nowMs
        }

        /** Returns the tokens to ask of the holder now; 0 for none. */
        fun ask(chunkTokens: Double, nowMs: Long): Long {
            val isWaiting = askedAtMs?.let { nowMs - it < ASK_INTERVAL_MS } ?: false
            val isSupplied = balanceTokens >= chunkTokens / 2 && supply != Supply.LOCAL
            if (isWaiting || isSupplied) return 0
            askedAtMs = nowMs
            askedTokens = ceil(chunkTokens - balanceTokens).toLong().coerceAtLeast(1)
            return askedTokens
        }
    }

    private companion object {
        const val MS_PER_S = 1_000.0
        const val MAX_CHUNKS = 2
        const val ASK_INTERVAL_MS = 500L
        const val MIN_RETRY_MS = 100L
        const val MAX_RETRY_MS = 60_000L
        const val IDLE_MS = 600_000L
    }
}
