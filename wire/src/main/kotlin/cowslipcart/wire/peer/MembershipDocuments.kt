package cowslipcart.wire.peer

import cowslipcart.core.membership.HostIdentity
import cowslipcart.core.membership.HostState
import cowslipcart.core.membership.PingContent
import cowslipcart.core.membership.Rumor
import cowslipcart.core.model.DomainId
import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.HostId
import cowslipcart.core.model.IncarnationId
import cowslipcart.core.model.LogOffset
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Wire form of a [HostIdentity]. */
@Serializable
internal class HostIdentityDocument(
    @SerialName("h") val host: String,
    @SerialName("i") val incarnation: Long,
    @SerialName("d") val domain: String,
    @SerialName("a") val peerAddress: String
) {
    fun toIdentity() =
        HostIdentity(HostId(host), IncarnationId(incarnation), DomainId(domain), peerAddress)
}

internal fun HostIdentity.toDocument() =
    HostIdentityDocument(host.value, incarnation.value, domain.value, peerAddress)

/** Wire form of a [Rumor]. */
@Serializable
internal sealed interface RumorDocument {
    fun toRumor(): Rumor

    @Serializable
    @SerialName("h")
    class Host(
        @SerialName("p") val identity: HostIdentityDocument,
        @SerialName("s") val state: HostState,
        @SerialName("c") val refutationCount: Long
    ) : RumorDocument {
        override fun toRumor() = Rumor.Host(identity.toIdentity(), state, refutationCount)
    }

    @Serializable
    @SerialName("e")
    class EndpointLeaving(@SerialName("n") val endpoint: String, @SerialName("m") val ageMs: Long) :
        RumorDocument {
        override fun toRumor() = Rumor.EndpointLeaving(EndpointId(endpoint), ageMs)
    }
}

internal fun Rumor.toDocument(): RumorDocument = when (this) {
    is Rumor.Host -> RumorDocument.Host(identity.toDocument(), state, refutationCount)
    is Rumor.EndpointLeaving -> RumorDocument.EndpointLeaving(endpoint.value, ageMs)
}

/** Wire form of a [PingContent]. */
@Serializable
internal class PingContentDocument(
    @SerialName("f") val from: HostIdentityDocument,
    @SerialName("n") val pingNumber: Long,
    @SerialName("s") val state: HostState,
    @SerialName("c") val refutationCount: Long,
    @SerialName("o") val configOffset: Long,
    @SerialName("r") val rumors: List<RumorDocument> = emptyList()
) {
    fun toPing() = PingContent(
        from.toIdentity(),
        pingNumber,
        state,
        refutationCount,
        LogOffset(configOffset),
        rumors.map { it.toRumor() }
    )
}

internal fun PingContent.toDocument() = PingContentDocument(
    from.toDocument(),
    pingNumber,
    state,
    refutationCount,
    configOffset.value,
    rumors.map { it.toDocument() }
)
