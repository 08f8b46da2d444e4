package cowslipcart.core.rollout

import cowslipcart.core.model.HostId
import cowslipcart.core.model.LogOffset
import cowslipcart.core.model.PoolId
import cowslipcart.core.model.VersionId

/**
 * An operator's order to move the requests of [pool] to endpoints of the version [to].
 *
 * @property durationMs time from the order to its deadline
 * @property offset offset of the order's record in the store, which tells it from other orders
 */
public data class RolloutOrder(
    public val pool: PoolId,
    public val to: VersionId,
    public val durationMs: Long,
    public val offset: LogOffset
)

/** How far a roll-out has come. Steps follow each other by [rank]; a final one ends the order. */
public sealed interface RolloutStep {
    public val rank: Int

    /** Whether the order has ended. */
    public val isFinal: Boolean get() = false

    /** The new version gets no more than its share of the exposure. */
    public data object Observing : RolloutStep {
        override val rank: Int get() = 0
    }

    /** The new version gets [percent] of the requests. */
    public data class Shifting(public val percent: Int) : RolloutStep {
        override val rank: Int get() = percent
    }

    /** The new version gets all requests; those at earlier versions run to their end. */
    public data object Moved : RolloutStep {
        override val rank: Int get() = MOVED_RANK
    }

    /** The new version has taken over; endpoints of earlier versions stop at once. */
    public data object Complete : RolloutStep {
        override val rank: Int get() = FINAL_RANK
        override val isFinal: Boolean get() = true
    }

    /** The new version gets nothing more. */
    public data object RolledBack : RolloutStep {
        override val rank: Int get() = FINAL_RANK
        override val isFinal: Boolean get() = true
    }

    private companion object {
        const val MOVED_RANK = 100
        const val FINAL_RANK = 101
    }
}

/**
 * State of a roll-out in the store.
 *
 * @property order offset of the order
 * @property from versions that served the pool before
 * @property startedAtWallMs wall-clock time at which a host first saw the order
 * @property writer host that wrote the record
 */
public data class RolloutRecord(
    public val order: LogOffset,
    public val pool: PoolId,
    public val to: VersionId,
    public val from: Set<VersionId>,
    public val step: RolloutStep,
    public val startedAtWallMs: Long,
    public val writer: HostId
)

/** A record with the offset at which the store holds it. */
public data class StoredRollout(public val record: RolloutRecord, public val offset: LogOffset)

/**
 * Bounds on all hosts together.
 *
 * @property exposureShare share of the requests of a pool that a version without a verdict may get
 * @property exposureSlack requests that it may get beyond that
 * @property rollbackMs time from its 50th bad answer until it may get no more requests
 */
public data class RolloutBounds(
    public val exposureShare: Double = 0.1,
    public val exposureSlack: Int = 50,
    public val rollbackMs: Long = 5_000
)
