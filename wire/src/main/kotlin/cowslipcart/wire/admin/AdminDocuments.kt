package cowslipcart.wire.admin

import kotlinx.serialization.Serializable

/**
 * Body of `GET /admin/config`.
 *
 * @property offset offset after the last record of the configuration stream that was applied
 * @property preset preset in force; null if there is none
 */
@Serializable
public data class ConfigDocument(
    public val revision: Long,
    public val offset: Long,
    public val preset: String? = null,
    public val declarations: List<DeclarationDocument>
)

/**
 * Body of `POST /admin/publish`.
 *
 * @property baseRevision revision that the change was made from; a newer one is a conflict
 */
@Serializable
public data class PublishRequest(
    public val baseRevision: Long,
    public val upserts: List<DeclarationDocument> = emptyList(),
    public val deletes: List<DeclarationKeyDocument> = emptyList(),
    public val author: String
)

/** Body of `POST /admin/preset`. */
@Serializable
public data class SwitchPresetRequest(
    public val baseRevision: Long,
    public val preset: String,
    public val author: String
)

/**
 * Body of a 200 to a change.
 *
 * @property revision revision that the change made
 * @property offset offset of its record in the configuration stream
 */
@Serializable
public data class AcceptedResponse(public val revision: Long, public val offset: Long)

/** Body of a 409 to a change: [winnerAuthor] made the revision after the base revision. */
@Serializable
public data class ConflictResponse(
    public val winnerAuthor: String,
    public val currentRevision: Long
)

/** Body of a 422 to a change: why the configuration would be invalid. */
@Serializable
public data class FaultsResponse(public val faults: List<String>)

/**
 * A host in `GET /admin/hosts`.
 *
 * @property isOwner whether the host may own shards and keys
 * @property revision revision in force; null unless the host is known to have the current one
 * @property preset preset in force; null like [revision], or if there is none
 * @property isReady null if not known
 */
@Serializable
public data class HostDocument(
    public val host: String,
    public val peerAddress: String,
    public val domain: String,
    public val isOwner: Boolean,
    public val revision: Long? = null,
    public val preset: String? = null,
    public val isReady: Boolean? = null
)

/** An endpoint in `GET /admin/endpoints`. */
@Serializable
public data class EndpointStatusDocument(
    public val endpoint: EndpointDocument,
    public val isDrained: Boolean
)

/** Body of `GET /admin/requests/{id}` and of `GET /v1/requests/{id}`. */
@Serializable
public data class RequestDocument(public val id: String, public val outcome: String)

/**
 * A record in `GET /admin/log`.
 *
 * @property appendedAtMs wall-clock time in ms since 1970
 * @property kind `publish`, `switch`, `checkpoint`, or `unreadable` for one that cannot be decoded
 */
@Serializable
public data class LogRecordDocument(
    public val offset: Long,
    public val appendedAtMs: Long,
    public val kind: String,
    public val author: String? = null,
    public val baseRevision: Long? = null,
    public val summary: String
)
