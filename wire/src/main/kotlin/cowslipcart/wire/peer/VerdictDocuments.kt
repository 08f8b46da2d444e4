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
internal sealed interface ClaimVerdictDocument {
    fun toVerdict(): ClaimVerdict

    @Serializable
    @SerialName("won")
    data object Won : ClaimVerdictDocument {
        override fun toVerdict() = ClaimVerdict.Won
    }

    @Serializable
    @SerialName("held")
    class Held(
        @SerialName("a") val holder: String,
        @SerialName("p") val origin: ProcessDocument,
        @SerialName("r") val answer: RecordedAnswerDocument? = null
    ) : ClaimVerdictDocument {
        override fun toVerdict() =
            ClaimVerdict.Held(AttemptId(holder), origin.toProcessId(), answer?.toAnswer())
    }

    @Serializable
    @SerialName("mismatch")
    data object Mismatch : ClaimVerdictDocument {
        override fun toVerdict() = ClaimVerdict.ContentMismatch
    }

    @Serializable
    @SerialName("expired")
    data object Expired : ClaimVerdictDocument {
        override fun toVerdict() = ClaimVerdict.Expired
    }

    @Serializable
    @SerialName("future")
    data object FromFuture : ClaimVerdictDocument {
        override fun toVerdict() = ClaimVerdict.FromFuture
    }

    @Serializable
    @SerialName("undecided")
    class Undecided(@SerialName("d") val detail: String) : ClaimVerdictDocument {
        override fun toVerdict() = ClaimVerdict.Undecided(detail)
    }
}

internal fun ClaimVerdict.toDocument(): ClaimVerdictDocument = when (this) {
    ClaimVerdict.Won -> ClaimVerdictDocument.Won

    is ClaimVerdict.Held ->
        ClaimVerdictDocument.Held(holder.value, origin.toDocument(), answer?.toDocument())

    ClaimVerdict.ContentMismatch -> ClaimVerdictDocument.Mismatch

    ClaimVerdict.Expired -> ClaimVerdictDocument.Expired

    ClaimVerdict.FromFuture -> ClaimVerdictDocument.FromFuture

    is ClaimVerdict.Undecided -> ClaimVerdictDocument.Undecided(detail)
}

/** Wire form of a [RequestOutcome]. */
@Serializable
internal sealed interface RequestOutcomeDocument {
    fun toOutcome(): RequestOutcome

    @Serializable
    @SerialName("running")
    data object Running : RequestOutcomeDocument {
        override fun toOutcome() = RequestOutcome.Running
    }

    @Serializable
    @SerialName("not-run")
    data object NotRun : RequestOutcomeDocument {
        override fun toOutcome() = RequestOutcome.NotRun
    }

    @Serializable
    @SerialName("unknown")
    data object Unknown : RequestOutcomeDocument {
        override fun toOutcome() = RequestOutcome.Unknown
    }

    @Serializable
    @SerialName("answered")
    class Answered(
        @SerialName("s") val status: Int,
        @SerialName("t") val contentType: String,
        @SerialName("b") val body: String
    ) : RequestOutcomeDocument {
        override fun toOutcome() = RequestOutcome.Answered(StoredAnswer(status, contentType, body))
    }
}

internal fun RequestOutcome.toDocument(): RequestOutcomeDocument = when (this) {
    RequestOutcome.Running -> RequestOutcomeDocument.Running

    RequestOutcome.NotRun -> RequestOutcomeDocument.NotRun

    RequestOutcome.Unknown -> RequestOutcomeDocument.Unknown

    is RequestOutcome.Answered ->
        RequestOutcomeDocument.Answered(answer.status, answer.contentType, answer.body)
}
