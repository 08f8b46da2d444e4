package cowslipcart.wire.peer

import cowslipcart.core.claims.ClaimVerdict
import cowslipcart.core.model.AttemptId
import cowslipcart.core.origin.RequestOutcome
import cowslipcart.core.origin.StoredAnswer
import cowslipcart.wire.log.ProcessDocument
import cowslipcart.wire.log.RecordedAnswerDocument
import cowslipcart.wire.log.toDocument
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Wire form of a [ClaimVerdict]. */
@Serializable
internal sealed interface VerdictDocument {
    fun toVerdict(): ClaimVerdict

    @Serializable
    @SerialName("won")
    data object Won : VerdictDocument {
        override fun toVerdict() = ClaimVerdict.Won
    }

    @Serializable
    @SerialName("held")
    class Held(
        @SerialName("a") val holder: String,
        @SerialName("p") val origin: ProcessDocument,
        @SerialName("r") val answer: RecordedAnswerDocument? = null
    ) : VerdictDocument {
        override fun toVerdict() =
            ClaimVerdict.Held(AttemptId(holder), origin.toOrigin(), answer?.toAnswer())
    }

    @Serializable
    @SerialName("mismatch")
    data object Mismatch : VerdictDocument {
        override fun toVerdict() = ClaimVerdict.ContentMismatch
    }

    @Serializable
    @SerialName("expired")
    data object Expired : VerdictDocument {
        override fun toVerdict() = ClaimVerdict.Expired
    }

    @Serializable
    @SerialName("future")
    data object FromFuture : VerdictDocument {
        override fun toVerdict() = ClaimVerdict.FromFuture
    }

    @Serializable
    @SerialName("undecided")
    class Undecided(@SerialName("d") val detail: String) : VerdictDocument {
        override fun toVerdict() = ClaimVerdict.Undecided(detail)
    }
}

internal fun ClaimVerdict.toDocument(): VerdictDocument = when (this) {
    ClaimVerdict.Won -> VerdictDocument.Won

    is ClaimVerdict.Held ->
        VerdictDocument.Held(holder.value, origin.toDocument(), answer?.toDocument())

    ClaimVerdict.ContentMismatch -> VerdictDocument.Mismatch

    ClaimVerdict.Expired -> VerdictDocument.Expired

    ClaimVerdict.FromFuture -> VerdictDocument.FromFuture

    is ClaimVerdict.Undecided -> VerdictDocument.Undecided(detail)
}

/** Wire form of a [RequestOutcome]. */
@Serializable
internal sealed interface OutcomeDocument {
    fun toOutcome(): RequestOutcome

    @Serializable
    @SerialName("running")
    data object Running : OutcomeDocument {
        override fun toOutcome() = RequestOutcome.Running
    }

    @Serializable
    @SerialName("not-run")
    data object NotRun : OutcomeDocument {
        override fun toOutcome() = RequestOutcome.NotRun
    }

    @Serializable
    @SerialName("unknown")
    data object Unknown : OutcomeDocument {
        override fun toOutcome() = RequestOutcome.Unknown
    }

    @Serializable
    @SerialName("answered")
    class Answered(
        @SerialName("s") val status: Int,
        @SerialName("t") val contentType: String,
        @SerialName("b") val body: String
    ) : OutcomeDocument {
        override fun toOutcome() = RequestOutcome.Answered(StoredAnswer(status, contentType, body))
    }
}

internal fun RequestOutcome.toDocument(): OutcomeDocument = when (this) {
    RequestOutcome.Running -> OutcomeDocument.Running

    RequestOutcome.NotRun -> OutcomeDocument.NotRun

    RequestOutcome.Unknown -> OutcomeDocument.Unknown

    is RequestOutcome.Answered ->
        OutcomeDocument.Answered(answer.status, answer.contentType, answer.body)
}
