package cowslipcart.wire.admin

import kotlinx.serialization.Serializable

/** Body of `GET /admin/config`. */
@Serializable
public data class ConfigDocument(
    public val revision: Long,
    public val offset: Long,
    public val preset: String? = null,
    public val declarations: List<DeclarationDocument>
)

/** Body of `POST /admin/publish`. */
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

/** Body of a 200 to a change. */
@Serializable
public data class AcceptedResponse(public val revision: Long, public val offset: Long)

/** Body of a 409 to a change. */
@Serializable
public data class ConflictResponse(
    public val winnerAuthor: String,
    public val currentRevision: Long
)

/** Body of a 422 to a change. */
@Serializable
public data class FaultsResponse(public val faults: List<String>)

/** A host in `GET /admin/hosts`; the revision is null if the host did not answer. */
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

/** A record in `GET /admin/log`. */
@Serializable
public data class LogRecordDocument(
    public val offset: Long,
    public val appendedAtMs: Long,
    public val kind: String,
    public val author: String? = null,
    public val baseRevision: Long? = null,
    public val summary: String
)
