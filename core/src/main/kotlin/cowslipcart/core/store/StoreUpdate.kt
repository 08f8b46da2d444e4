package cowslipcart.core.store

import cowslipcart.core.model.LogOffset
import cowslipcart.core.model.StoreEra

/**
 * Update that a host publishes to its group after it read the store, so that the other hosts need
 * not read it themselves. Messages may be lost or duplicated: each one covers the last seconds, and
 * the receiver skips the offsets that it has already applied.
 */
public sealed interface StoreUpdate {
    /** Offset up to which the table was read. */
    public val next: LogOffset

    /** Era of the offsets. */
    public val era: StoreEra

    /** Age of the read when the message was sent, in ms. */
    public val ageMs: Long

    /**
     * Changes of the endpoint table from [from] to [next], without heartbeats that change nothing.
     *
     * @property recoveredForMs time since the store recovered from an outage for the sender; null
     * if that is long ago
     */
    public data class Endpoints(
        public val from: LogOffset,
        override val next: LogOffset,
        public val changes: List<EndpointChange>,
        override val ageMs: Long,
        public val recoveredForMs: Long?,
        override val era: StoreEra = StoreEra.UNSTATED
    ) : StoreUpdate

    /**
     * The table of configurations ends at [next].
     *
     * @property record the newest configuration, for some time after it was read; null later, or if
     * it is too large to be sent
     */
    public data class Configuration(
        override val next: LogOffset,
        override val ageMs: Long,
        public val record: TableRecord? = null,
        override val era: StoreEra = StoreEra.UNSTATED
    ) : StoreUpdate
}
