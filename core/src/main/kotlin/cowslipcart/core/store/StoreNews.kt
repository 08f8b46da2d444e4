package cowslipcart.core.store

import cowslipcart.core.model.LogOffset

/**
 * What one host read of the store, for the others of its group, which then need not read it
 * themselves. Messages may be lost or arrive twice: each one covers the last seconds, and offsets
 * tell what the receiver has already.
 */
public sealed interface StoreNews {
    /** Offset up to which the table was read. */
    public val next: LogOffset

    /** Age of the read when the message was sent, in ms. */
    public val ageMs: Long

    /**
     * Changes of the table of endpoints, complete from [from] to [next] but for records that only
     * confirm what was known.
     *
     * @property regainedForMs time since the reader could read the store again after a failure;
     * null if that is long ago
     */
    public data class Endpoints(
        public val from: LogOffset,
        override val next: LogOffset,
        public val changes: List<EndpointChange>,
        override val ageMs: Long,
        public val regainedForMs: Long?
    ) : StoreNews

    /** The table of configurations ends at [next]. */
    public data class Configuration(override val next: LogOffset, override val ageMs: Long) :
        StoreNews
}
