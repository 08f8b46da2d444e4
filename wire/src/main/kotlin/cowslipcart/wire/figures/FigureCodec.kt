@file:OptIn(ExperimentalSerializationApi::class)

package cowslipcart.wire.figures

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import cowslipcart.core.forwarding.CrashNotice
import cowslipcart.core.forwarding.HostFigures
import cowslipcart.core.forwarding.HostLoad
import cowslipcart.core.forwarding.HostProfile
import cowslipcart.core.forwarding.PromptPartId
import cowslipcart.core.forwarding.ReadPart
import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.Fingerprint
import cowslipcart.core.model.HostId
import cowslipcart.core.model.IncarnationId
import cowslipcart.core.model.OrganisationId
import cowslipcart.wire.WireError
import cowslipcart.wire.peer.peerCbor
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.CborArray

/** Encodes the figures of a host. Decoding fails with a [SerializationException]. */
internal object FigureCodec {
    private const val VERSION = 4
    private const val US_PER_MS = 1_000.0

    /** Encodes [figures]; [isLeaving] marks the last ones of a host that stops in good order. */
    fun encode(figures: HostFigures, isLeaving: Boolean): ByteArray =
        peerCbor.encodeToByteArray(FiguresDocument.serializer(), toDocument(figures, isLeaving))

    fun decode(bytes: ByteArray): Either<WireError, PeerDatagram> {
        val document = peerCbor.decodeFromByteArray(FiguresDocument.serializer(), bytes)
        return if (document.version == VERSION) {
            PeerDatagram.Figures(toFigures(document), document.isLeaving).right()
        } else {
            WireError.UnknownVersion(VERSION, document.version).left()
        }
    }

    private fun toDocument(figures: HostFigures, isLeaving: Boolean) = FiguresDocument(
        VERSION,
        figures.host.value,
        figures.incarnation.value,
        figures.sequence,
        figures.profile.domain,
        figures.profile.capacityCores,
        isLeaving,
        figures.loads.map { (id, load) ->
            LoadDocument(id.value, load.running, load.unreadTokens)
        },
        figures.tokenMs.map { (id, ms) -> TokenTimeDocument(id.value, (ms * US_PER_MS).toInt()) },
        figures.unitsUsed.map { (id, units) -> UseDocument(id.value, units) },
        figures.readParts.map { ReadDocument(it.part.value, it.endpoint.value) },
        figures.crashes.map {
            CrashDocument(it.number, it.fingerprint.value, it.endpoint.value)
        }
    )

    private fun toFigures(document: FiguresDocument) = HostFigures(
        host = HostId(document.host),
        incarnation = IncarnationId(document.incarnation),
        sequence = document.sequence,
        profile = HostProfile(document.domain, document.capacityCores),
        loads = document.loads.associate {
            EndpointId(it.endpoint) to HostLoad(it.running, it.unreadTokens)
        },
        tokenMs = document.tokenTimes.associate { EndpointId(it.endpoint) to it.us / US_PER_MS },
        unitsUsed = document.uses.associate { OrganisationId(it.organisation) to it.units },
        readParts = document.reads.map {
            ReadPart(PromptPartId(it.part), EndpointId(it.endpoint))
        },
        crashes = document.crashes.map {
            CrashNotice(it.number, Fingerprint(it.fingerprint), EndpointId(it.endpoint))
        }
    )
}

/** Array form of [HostFigures]. The order of the fields is part of the protocol. */
@Serializable
@CborArray
private class FiguresDocument(
    val version: Int,
    val host: String,
    val incarnation: Long,
    val sequence: Long,
    val domain: String,
    val capacityCores: Double,
    val isLeaving: Boolean,
    val loads: List<LoadDocument>,
    val tokenTimes: List<TokenTimeDocument>,
    val uses: List<UseDocument>,
    val reads: List<ReadDocument>,
    val crashes: List<CrashDocument>
)

@Serializable
@CborArray
private class LoadDocument(val endpoint: String, val running: Int, val unreadTokens: Long)

@Serializable
@CborArray
private class TokenTimeDocument(val endpoint: String, val us: Int)

@Serializable
@CborArray
private class UseDocument(val organisation: String, val units: Double)

@Serializable
@CborArray
private class ReadDocument(val part: Long, val endpoint: String)

@Serializable
@CborArray
private class CrashDocument(val number: Long, val fingerprint: String, val endpoint: String)
