package cowslipcart.core.claims

import cowslipcart.core.model.AttemptId
import cowslipcart.core.model.Fingerprint
import cowslipcart.core.model.HostId
import cowslipcart.core.model.IncarnationId
import cowslipcart.core.model.LogOffset
import cowslipcart.core.model.OrganisationId

/**
 * Idempotency key of an organisation's request.
 *
 * @property uuid canonical lower-case UUIDv7
 * @property keyTimeMs time bits of [uuid], milliseconds since 1970 by the caller's clock
 */
public data class RequestKey(
    public val organisation: OrganisationId,
    public val uuid: String,
    public val keyTimeMs: Long
)

/** A process of a host, identified across restarts; makes attempts and can own keys. */
public data class ProcessId(public val host: HostId, public val incarnation: IncarnationId)

/**
 * An item of a record on the stream `claims-P` of partition P, or the same message to a key owner.
 */
public sealed interface ClaimItem {
    /** Key that the item is about. */
    public val key: RequestKey

    /** Attempt that the item is about. */
    public val attempt: AttemptId

    /** [origin] wants to run the request with [key] and this content. */
    public data class Claim(
        override val key: RequestKey,
        override val attempt: AttemptId,
        public val fingerprint: Fingerprint,
        public val origin: ProcessId
    ) : ClaimItem

    /** [attempt] has not run and will not run. Sent only by the process that made the attempt. */
    public data class Release(override val key: RequestKey, override val attempt: AttemptId) :
        ClaimItem

    /** [attempt] ran and gave [answer]. */
    public data class Outcome(
        override val key: RequestKey,
        override val attempt: AttemptId,
        public val answer: RecordedAnswer
    ) : ClaimItem
}

/**
 * Answer of an attempt as kept in the log.
 *
 * @property status HTTP status
 * @property body null if it was larger than 2 KiB
 */
public data class RecordedAnswer(
    public val status: Int,
    public val contentType: String,
    public val body: String?
)

/**
 * A log record that holds a batch of items.
 *
 * @property appendedAtMs time stamp of the log service, milliseconds since 1970
 */
public data class ClaimRecord(
    public val offset: LogOffset,
    public val appendedAtMs: Long,
    public val items: List<ClaimItem>
)

/** Result of a claim. */
public sealed interface ClaimVerdict {
    /** The attempt is the only one that may run. */
    public data object Won : ClaimVerdict

    /**
     * Another attempt holds the key.
     *
     * @property answer recorded answer of [holder], or null if none is recorded
     */
    public data class Held(
        public val holder: AttemptId,
        public val origin: ProcessId,
        public val answer: RecordedAnswer?
    ) : ClaimVerdict

    /** The key was used with other content. */
    public data object ContentMismatch : ClaimVerdict

    /** The key is too old, or the records are gone that tell whether an earlier attempt ran. */
    public data object Expired : ClaimVerdict

    /** The key's time lies more than 5 min in the future. */
    public data object FromFuture : ClaimVerdict

    /** The claim could not be decided and the attempt must not run. */
    public data class Undecided(public val detail: String) : ClaimVerdict
}
