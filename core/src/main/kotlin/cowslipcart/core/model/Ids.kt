package cowslipcart.core.model

/** Name of a host, taken from its settings. */
@JvmInline
public value class HostId(public val value: String) : Comparable<HostId> {
    override fun compareTo(other: HostId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** Random 64-bit number drawn at process start; it tells a restarted host from its predecessor. */
@JvmInline
public value class IncarnationId(public val value: Long) {
    override fun toString(): String = value.toULong().toString(16)
}

/**
 * Name of a failure domain, taken from the settings of a host or from the declaration of an
 * endpoint.
 */
@JvmInline
public value class DomainId(public val value: String) {
    override fun toString(): String = value
}

/** Name of an organisation, taken from its declaration. */
@JvmInline
public value class OrganisationId(public val value: String) : Comparable<OrganisationId> {
    override fun compareTo(other: OrganisationId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** Name of an endpoint, taken from its declaration. */
@JvmInline
public value class EndpointId(public val value: String) : Comparable<EndpointId> {
    override fun compareTo(other: EndpointId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** Version of the software that an endpoint runs; empty if its entry names none. */
@JvmInline
public value class VersionId(public val value: String) : Comparable<VersionId> {
    override fun compareTo(other: VersionId): Int = value.compareTo(other.value)

    override fun toString(): String = value

    public companion object {
        /** The version of an entry that names none. */
        public val NONE: VersionId = VersionId("")
    }
}

/** Name of a pool: the endpoints that serve one model or one service. */
@JvmInline
public value class PoolId(public val value: String) : Comparable<PoolId> {
    override fun compareTo(other: PoolId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** One shard of a pool; [index] counts from 0. */
public data class ShardId(public val pool: PoolId, public val index: Int) {
    override fun toString(): String = "$pool#$index"
}

/** Name of a preset. */
@JvmInline
public value class PresetName(public val value: String) : Comparable<PresetName> {
    override fun compareTo(other: PresetName): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** Identifies one request of a caller; unique across all hosts. */
@JvmInline
public value class RequestId(public val value: String) {
    override fun toString(): String = value
}

/** Name that a caller gives to related requests; unique within its organisation. */
@JvmInline
public value class SessionId(public val value: String) {
    override fun toString(): String = value
}

/**
 * Identifies one attempt to claim a key. It consists of host, incarnation and a counter, so that it
 * stays unique after a restart of the host.
 */
@JvmInline
public value class AttemptId(public val value: String) {
    override fun toString(): String = value
}

/** Identifies one grant of capacity; unique for the owner that issued it. */
@JvmInline
public value class GrantId(public val value: String) {
    override fun toString(): String = value
}

/** Hash of organisation and request content without the idempotency key; 16 hex digits. */
@JvmInline
public value class Fingerprint(public val value: String) {
    override fun toString(): String = value
}

/** Hash of a prompt prefix up to the end of one block. */
@JvmInline
public value class PrefixBlock(public val value: Long)

/** Number of accepted configuration changes; 0 before the first. */
@JvmInline
public value class Revision(public val value: Long) : Comparable<Revision> {
    override fun compareTo(other: Revision): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()

    /** Returns the revision that the next accepted change makes. */
    public fun next(): Revision = Revision(value + 1)
}

/**
 * Counts how often the platform's store came back from an older copy; offsets of records hold
 * within one era only.
 */
@JvmInline
public value class StoreEra(public val value: Long) : Comparable<StoreEra> {
    override fun compareTo(other: StoreEra): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()

    public companion object {
        /** The era of a store that does not state one. */
        public val UNSTATED: StoreEra = StoreEra(0)
    }
}

/** Position of a record in a log stream; the first record has offset 0. */
@JvmInline
public value class LogOffset(public val value: Long) : Comparable<LogOffset> {
    override fun compareTo(other: LogOffset): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()

    /** Returns the offset after this one. */
    public fun next(): LogOffset = LogOffset(value + 1)
}

/** Random number that identifies one fetch of a peer's configuration. */
@JvmInline
public value class ConfigFetchId(public val value: Long) {
    override fun toString(): String = value.toString()
}

/** Name of a log stream. */
@JvmInline
public value class StreamName(public val value: String) {
    override fun toString(): String = value
}

/** Tier of requests, given by its rank; 0 is the most urgent. */
@JvmInline
public value class Tier(public val rank: Int) : Comparable<Tier> {
    override fun compareTo(other: Tier): Int = rank.compareTo(other.rank)

    override fun toString(): String = rank.toString()
}
