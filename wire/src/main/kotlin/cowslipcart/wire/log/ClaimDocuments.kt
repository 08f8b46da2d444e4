package cowslipcart.wire.log

import cowslipcart.core.claims.ClaimItem
import cowslipcart.core.claims.ProcessId
import cowslipcart.core.claims.RecordedAnswer
import cowslipcart.core.claims.RequestKey
import cowslipcart.core.model.AttemptId
import cowslipcart.core.model.Fingerprint
import cowslipcart.core.model.HostId
import cowslipcart.core.model.IncarnationId
import cowslipcart.core.model.OrganisationId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Wire form of a [RequestKey]. */
@Serializable
internal class RequestKeyDocument(
    @SerialName("o") val organisation: String,
    @SerialName("u") val uuid: String,
    @SerialName("t") val keyTimeMs: Long
) {
    fun toKey() = RequestKey(OrganisationId(organisation), uuid, keyTimeMs)
}

internal fun RequestKey.toDocument() = RequestKeyDocument(organisation.value, uuid, keyTimeMs)

/** Wire form of an [ProcessId]: a host and the incarnation of its process. */
@Serializable
internal class ProcessDocument(
    @SerialName("h") val host: String,
    @SerialName("i") val incarnation: Long
) {
    fun toProcessId() = ProcessId(HostId(host), IncarnationId(incarnation))
}

internal fun ProcessId.toDocument() = ProcessDocument(host.value, incarnation.value)

/** Wire form of a [RecordedAnswer]. */
@Serializable
internal class RecordedAnswerDocument(
    @SerialName("s") val status: Int,
    @SerialName("t") val contentType: String,
    @SerialName("b") val body: String? = null
) {
    fun toAnswer() = RecordedAnswer(status, contentType, body)
}

internal fun RecordedAnswer.toDocument() = RecordedAnswerDocument(status, contentType, body)

/** Wire form of a [ClaimItem]. */
@Serializable
internal sealed interface ClaimItemDocument {
    fun toItem(): ClaimItem

    @Serializable
    @SerialName("c")
    class Claim(
        @SerialName("k") val key: RequestKeyDocument,
        @SerialName("a") val attempt: String,
        @SerialName("f") val fingerprint: String,
        @SerialName("p") val origin: ProcessDocument
    ) : ClaimItemDocument {
        override fun toItem(): ClaimItem.Claim = ClaimItem.Claim(
            key.toKey(),
            AttemptId(attempt),
            Fingerprint(fingerprint),
            origin.toProcessId()
        )
    }

    @Serializable
    @SerialName("r")
    class Release(
        @SerialName("k") val key: RequestKeyDocument,
        @SerialName("a") val attempt: String
    ) : ClaimItemDocument {
        override fun toItem(): ClaimItem = ClaimItem.Release(key.toKey(), AttemptId(attempt))
    }

    @Serializable
    @SerialName("o")
    class Outcome(
        @SerialName("k") val key: RequestKeyDocument,
        @SerialName("a") val attempt: String,
        @SerialName("r") val answer: RecordedAnswerDocument
    ) : ClaimItemDocument {
        override fun toItem(): ClaimItem =
            ClaimItem.Outcome(key.toKey(), AttemptId(attempt), answer.toAnswer())
    }
}

internal fun ClaimItem.Claim.toClaimDocument() = ClaimItemDocument.Claim(
    key.toDocument(),
    attempt.value,
    fingerprint.value,
    origin.toDocument()
)

internal fun ClaimItem.toDocument(): ClaimItemDocument = when (this) {
    is ClaimItem.Claim -> toClaimDocument()

    is ClaimItem.Release -> ClaimItemDocument.Release(key.toDocument(), attempt.value)

    is ClaimItem.Outcome ->
        ClaimItemDocument.Outcome(key.toDocument(), attempt.value, answer.toDocument())
}
