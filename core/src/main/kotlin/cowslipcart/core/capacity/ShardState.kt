package cowslipcart.core.capacity

import cowslipcart.core.model.HostId
import cowslipcart.core.model.OrganisationId
import cowslipcart.core.model.Tier

/** State that the rules of the main policy share. */
internal class ShardState(config: ShardConfig, private val rebuild: Boolean) {
    val endpoints: EndpointTable = EndpointTable()
    val queue: WorkQueue = WorkQueue()
    val grants: GrantTable = GrantTable(endpoints)
    val outputs: OutputEstimator = OutputEstimator()
    private val signsOfLifeMs = HashMap<HostId, Long>()
    private var startMs: Long? = null

    var config: ShardConfig = config
        private set

    /** Adopts a configuration. */
    fun configure(config: ShardConfig, nowMs: Long) {
        this.config = config
        endpoints.configure(config, nowMs)
    }

    /** Records the time of the first call, from which the rebuild wait counts. */
    fun start(nowMs: Long) {
        if (startMs != null) return
        startMs = nowMs
        configure(config, nowMs)
    }

    /** Whether requests of [tier] may be granted; lower tiers wait while a new owner rebuilds. */
    fun mayGrant(tier: Tier, nowMs: Long): Boolean {
        if (!rebuild || tier.rank == 0) return true
        return nowMs - (startMs ?: nowMs) >= REBUILD_WAIT_MS
    }

    /** Whether work below [tier] runs or waits. */
    fun hasBelow(tier: Tier): Boolean = queue.lowestBelow(tier) != null || grants.hasAnyBelow(tier)

    fun weightOf(organisation: OrganisationId): Double =
        (config.weights[organisation] ?: 1.0).coerceAtLeast(LEAST_WEIGHT)

    fun maxQueued(tier: Tier): Int =
        config.preset?.tiers?.get(tier)?.maxQueuedPerShard ?: DEFAULT_MAX_QUEUED

    fun firstTokenTargetMs(tier: Tier): Long =
        config.tiers[tier]?.firstTokenTargetMs ?: DEFAULT_FIRST_TOKEN_TARGET_MS

    /** Records that [origin] was heard of. */
    fun recordSignOfLife(origin: HostId, nowMs: Long) {
        signsOfLifeMs[origin] = nowMs
    }

    fun lastSignOfLifeMs(origin: HostId): Long = signsOfLifeMs[origin] ?: Long.MIN_VALUE

    fun forgetOrigin(origin: HostId) {
        signsOfLifeMs -= origin
    }

    private companion object {
        const val REBUILD_WAIT_MS = 1_000L
        const val DEFAULT_MAX_QUEUED = 256
        const val DEFAULT_FIRST_TOKEN_TARGET_MS = 930L
        const val LEAST_WEIGHT = 1e-6
    }
}
