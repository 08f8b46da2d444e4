@file:OptIn(ExperimentalSerializationApi::class)

package cowslipcart.wire.datagram

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import cowslipcart.core.forwarding.AnswerNotice
import cowslipcart.core.forwarding.CrashNotice
import cowslipcart.core.forwarding.EndpointCrash
import cowslipcart.core.forwarding.EndpointRun
import cowslipcart.core.forwarding.HostLoad
import cowslipcart.core.forwarding.HostLoadReport
import cowslipcart.core.forwarding.HostProfile
import cowslipcart.core.forwarding.LeavingEndpoint
import cowslipcart.core.forwarding.PartCrash
import cowslipcart.core.forwarding.PrefilledPart
import cowslipcart.core.forwarding.PromptPartId
import cowslipcart.core.forwarding.QuarantinedRequest
import cowslipcart.core.forwarding.SuspectedPart
import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.Fingerprint
import cowslipcart.core.model.HostId
import cowslipcart.core.model.IncarnationId
import cowslipcart.core.model.OrganisationId
import cowslipcart.wire.WireError
import cowslipcart.wire.peer.completePeerCbor
import cowslipcart.wire.peer.peerCbor
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.CborArray

/** Encodes load reports as CBOR. [decode] throws a [SerializationException] for malformed bytes. */
internal object LoadReportCodec {
    /** Version of the layout; a report of any other version is not decoded. */
    private const val VERSION = 4
    private const val US_PER_MS = 1_000.0

    /** Far above the requests that a host has at one endpoint. */
    private val RUNNING = -1_000_000..1_000_000

    /** Far above the prompts that a host has at one endpoint. */
    private val UNREAD_TOKENS = -1_000_000_000_000L..1_000_000_000_000L

    private val PROBES = 0..1_000

    /** Thirty years; a quarantine holds as long as its request comes. */
    private val AGES_MS = 0L..1_000_000_000_000L

    /** Encodes [report]; [isLeaving] marks the last report of a host that shuts down cleanly. */
    fun encode(report: HostLoadReport, isLeaving: Boolean): ByteArray {
        val hasLaterFields = report.leavingEndpoints.isNotEmpty() ||
            report.answers.isNotEmpty() || report.quarantines.isNotEmpty() ||
            report.endpointRuns.isNotEmpty()
        val cbor = if (hasLaterFields) completePeerCbor else peerCbor
        return cbor.encodeToByteArray(
            LoadReportDocument.serializer(),
            toDocument(report, isLeaving)
        )
    }

    fun decode(bytes: ByteArray): Either<WireError, PeerDatagram> {
        val document = peerCbor.decodeFromByteArray(LoadReportDocument.serializer(), bytes)
        return when {
            document.version != VERSION ->
                WireError.UnknownVersion(VERSION, document.version).left()

            !isInRange(document) -> WireError.Malformed("expected smaller numbers").left()

            else -> PeerDatagram.LoadReport(toReport(document), document.isLeaving).right()
        }
    }

    /** Whether the sums of the numbers of many reports neither overflow nor become NaN. */
    private fun isInRange(document: LoadReportDocument): Boolean =
        document.capacityCores.isFinite() &&
            document.loads.all { it.running in RUNNING && it.unreadTokens in UNREAD_TOKENS } &&
            document.uses.all { it.units.isFinite() } &&
            document.quarantines.all {
                it.failedProbes in PROBES && it.crashedAgoMs in AGES_MS &&
                    it.seenAgoMs in AGES_MS && it.crashes.all { crash -> crash.agoMs in AGES_MS }
            } &&
            document.endpointRuns.all { it.sinceAgoMs in AGES_MS && it.untilAgoMs in AGES_MS }

    private fun toDocument(report: HostLoadReport, isLeaving: Boolean) = LoadReportDocument(
        VERSION,
        report.host.value,
        report.incarnation.value,
        report.sequence,
        report.profile.domain,
        report.profile.capacityCores,
        isLeaving,
        report.loads.map { (id, load) ->
            EndpointLoadDocument(id.value, load.running, load.pendingPrefillTokens)
        },
        report.msPerToken.map { (id, ms) -> TokenTimeDocument(id.value, (ms * US_PER_MS).toInt()) },
        report.unitsUsed.map { (id, units) -> UnitUsageDocument(id.value, units) },
        report.prefilledParts.map { PrefilledPartDocument(it.part.value, it.endpoint.value) },
        report.crashes.map {
            CrashNoticeDocument(it.number, it.fingerprint.value, it.endpoint.value)
        },
        report.suspectedParts.map { suspected ->
            SuspectedPartDocument(
                suspected.part.value,
                suspected.answeredAgoMs,
                suspected.crashes.map {
                    PartCrashDocument(it.endpoint.value, it.agoMs, it.isAnswerBegun)
                }
            )
        },
        report.leavingEndpoints.map { LeavingEndpointDocument(it.id.value, it.startedAtMs) },
        report.answers.map { AnswerNoticeDocument(it.number, it.fingerprint.value) },
        report.quarantines.map { quarantined ->
            QuarantinedRequestDocument(
                quarantined.fingerprint.value,
                quarantined.crashes.map { EndpointCrashDocument(it.endpoint.value, it.agoMs) },
                quarantined.failedProbes,
                quarantined.crashedAgoMs,
                quarantined.seenAgoMs
            )
        },
        report.endpointRuns.map {
            EndpointRunDocument(it.endpoint.value, it.sinceAgoMs, it.untilAgoMs)
        }
    )

    private fun toReport(document: LoadReportDocument) = HostLoadReport(
        host = HostId(document.host),
        incarnation = IncarnationId(document.incarnation),
        sequence = document.sequence,
        profile = HostProfile(document.domain, document.capacityCores),
        loads = document.loads.associate {
            EndpointId(it.endpoint) to HostLoad(it.running, it.unreadTokens)
        },
        msPerToken = document.tokenTimes.associate { EndpointId(it.endpoint) to it.us / US_PER_MS },
        unitsUsed = document.uses.associate { OrganisationId(it.organisation) to it.units },
        prefilledParts = document.reads.map {
            PrefilledPart(PromptPartId(it.part), EndpointId(it.endpoint))
        },
        crashes = document.crashes.map {
            CrashNotice(it.number, Fingerprint(it.fingerprint), EndpointId(it.endpoint))
        },
        suspectedParts = document.suspectedParts.map { suspected ->
            SuspectedPart(
                PromptPartId(suspected.part),
                suspected.crashes.map {
                    PartCrash(EndpointId(it.endpoint), it.agoMs, it.isAnswerBegun)
                },
                suspected.answeredAgoMs
            )
        },
        leavingEndpoints = document.leavingEndpoints.map {
            LeavingEndpoint(EndpointId(it.endpoint), it.startedAtMs)
        },
        answers = document.answers.map { AnswerNotice(it.number, Fingerprint(it.fingerprint)) },
        endpointRuns = document.endpointRuns.map {
            EndpointRun(EndpointId(it.endpoint), it.sinceAgoMs, it.untilAgoMs)
        },
        quarantines = document.quarantines.map { quarantined ->
            QuarantinedRequest(
                Fingerprint(quarantined.fingerprint),
                quarantined.crashes.map { EndpointCrash(EndpointId(it.endpoint), it.agoMs) },
                quarantined.failedProbes,
                quarantined.crashedAgoMs,
                quarantined.seenAgoMs
            )
        }
    )
}

/**
 * Array form of [HostLoadReport]. The order of the fields is part of the protocol.
 *
 * @property reads prompt parts that endpoints have read lately
 * @property suspectedParts left out, as all later fields, if these are empty; reports of earlier
 * versions have none of them
 */
@Serializable
@CborArray
private class LoadReportDocument(
    val version: Int,
    val host: String,
    val incarnation: Long,
    val sequence: Long,
    val domain: String,
    val capacityCores: Double,
    val isLeaving: Boolean,
    val loads: List<EndpointLoadDocument>,
    val tokenTimes: List<TokenTimeDocument>,
    val uses: List<UnitUsageDocument>,
    val reads: List<PrefilledPartDocument>,
    val crashes: List<CrashNoticeDocument>,
    val suspectedParts: List<SuspectedPartDocument> = emptyList(),
    val leavingEndpoints: List<LeavingEndpointDocument> = emptyList(),
    val answers: List<AnswerNoticeDocument> = emptyList(),
    val quarantines: List<QuarantinedRequestDocument> = emptyList(),
    val endpointRuns: List<EndpointRunDocument> = emptyList()
)

@Serializable
@CborArray
private class EndpointLoadDocument(val endpoint: String, val running: Int, val unreadTokens: Long)

/** Time per token of an endpoint; [us] is in microseconds. */
@Serializable
@CborArray
private class TokenTimeDocument(val endpoint: String, val us: Int)

@Serializable
@CborArray
private class UnitUsageDocument(val organisation: String, val units: Double)

@Serializable
@CborArray
private class PrefilledPartDocument(val part: Long, val endpoint: String)

@Serializable
@CborArray
private class CrashNoticeDocument(val number: Long, val fingerprint: String, val endpoint: String)

@Serializable
@CborArray
private class AnswerNoticeDocument(val number: Long, val fingerprint: String)

@Serializable
@CborArray
private class QuarantinedRequestDocument(
    val fingerprint: String,
    val crashes: List<EndpointCrashDocument>,
    val failedProbes: Int,
    val crashedAgoMs: Long,
    val seenAgoMs: Long
)

@Serializable
@CborArray
private class EndpointCrashDocument(val endpoint: String, val agoMs: Long)

@Serializable
@CborArray
private class EndpointRunDocument(val endpoint: String, val sinceAgoMs: Long, val untilAgoMs: Long)

@Serializable
@CborArray
private class LeavingEndpointDocument(val endpoint: String, val startedAtMs: Long)

@Serializable
@CborArray
private class SuspectedPartDocument(
    val part: Long,
    val answeredAgoMs: Long?,
    val crashes: List<PartCrashDocument>
)

@Serializable
@CborArray
private class PartCrashDocument(val endpoint: String, val agoMs: Long, val isAnswerBegun: Boolean)
