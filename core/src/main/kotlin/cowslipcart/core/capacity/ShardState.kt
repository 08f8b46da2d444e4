package cowslipcart.core.capacity

import cowslipcart.core.model.HostId
import cowslipcart.core.model.OrganisationId
import cowslipcart.core.model.Tier

/**
 * State shared by the parts of [CowslipCartScheduler].
 *
 * @param rebuild whether the shard had an earlier owner, see [mayGrant]
 */
internal class ShardState(config: ShardConfig, private val rebuild: Boolean) {
    val endpoints: EndpointTable = EndpointTable()
    val queue: WorkQueue = WorkQueue()
    val grants: GrantTable = GrantTable(endpoints)
    val outputs: OutputEstimator = OutputEstimator()
    private val lastSeenMsByOrigin = HashMap<HostId, Long>()
    private var startMs: Long? = null

    var config: ShardConfig = config
        private set

    /** Applies a configuration. */
    fun configure(config: ShardConfig, nowMs: Long) {
        this.config = config
        endpoints.configure(config, nowMs)
    }

    /** Records the time of the first call, when the rebuild wait starts; later calls do nothing. */
    fun start(nowMs: Long) {
        if (startMs != null) return
        startMs = nowMs
        configure(config, nowMs)
    }

    /**
     * Whether requests of [tier] may be granted. After a change of owner all tiers except the top
     * one wait until the origins have reported their running grants.
     */
    fun mayGrant(tier: Tier, nowMs: Long): Boolean {
        if (!rebuild || tier.rank == 0) return true
        return nowMs - (startMs ?: nowMs) >= REBUILD_WAIT_MS
    }

    /** Whether work of a lower tier than [tier] runs or is queued. */
    fun hasWorkBelow(tier: Tier): Boolean =
        queue.lowestBelow(tier) != null || grants.hasAnyBelow(tier)

    fun weightOf(organisation: OrganisationId): Double =
        (config.weights[organisation] ?: 1.0).coerceAtLeast(MIN_WEIGHT)

    fun maxQueued(tier: Tier): Int =
        config.preset?.tiers?.get(tier)?.maxQueuedPerShard ?: DEFAULT_MAX_QUEUED

    fun firstTokenTargetMs(tier: Tier): Long =
        config.tiers[tier]?.firstTokenTargetMs ?: DEFAULT_FIRST_TOKEN_TARGET_MS

    /** Records that [origin] sent a message. */
    fun recordSeen(origin: HostId, nowMs: Long) {
        lastSeenMsByOrigin[origin] = nowMs
    }

    /** Time of the last message of [origin]; [Long.MIN_VALUE] without one. */
    fun lastSeenMs(origin: HostId): Long = lastSeenMsByOrigin[origin] ?: Long.MIN_VALUE

    fun forgetOrigin(origin: HostId) {
        lastSeenMsByOrigin -= origin
    }

    private companion object {
        const val REBUILD_WAIT_MS = 1_000L
        const val DEFAULT_MAX_QUEUED = 256
        const val DEFAULT_FIRST_TOKEN_TARGET_MS = 930L
        const val MIN_WEIGHT = 1e-6
    }
}
