package cowslipcart.experiment.workload

import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.OrganisationId
import cowslipcart.core.model.Tier
import kotlinx.serialization.KSerializer
import kotlinx.serialization.descriptors.PrimitiveKind
import kotlinx.serialization.descriptors.PrimitiveSerialDescriptor
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.encoding.Decoder
import kotlinx.serialization.encoding.Encoder

/** Serializes an [EndpointId] as a plain string. */
internal object EndpointIdSerializer : KSerializer<EndpointId> {
    override val descriptor: SerialDescriptor =
        PrimitiveSerialDescriptor("EndpointId", PrimitiveKind.STRING)

    override fun serialize(encoder: Encoder, value: EndpointId) = encoder.encodeString(value.value)

    override fun deserialize(decoder: Decoder): EndpointId = EndpointId(decoder.decodeString())
}

/** Serializes an [OrganisationId] as a plain string. */
internal object OrganisationIdSerializer : KSerializer<OrganisationId> {
    override val descriptor: SerialDescriptor =
        PrimitiveSerialDescriptor("OrganisationId", PrimitiveKind.STRING)

    override fun serialize(encoder: Encoder, value: OrganisationId) =
        encoder.encodeString(value.value)

    override fun deserialize(decoder: Decoder): OrganisationId =
        OrganisationId(decoder.decodeString())
}

/** Serializes a [Tier] as its rank. */
internal object TierSerializer : KSerializer<Tier> {
    override val descriptor: SerialDescriptor =
        PrimitiveSerialDescriptor("Tier", PrimitiveKind.INT)

    override fun serialize(encoder: Encoder, value: Tier) = encoder.encodeInt(value.rank)

    override fun deserialize(decoder: Decoder): Tier = Tier(decoder.decodeInt())
}
