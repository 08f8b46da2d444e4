@file:OptIn(ExperimentalSerializationApi::class)

package cowslipcart.wire.peer

import cowslipcart.core.capacity.CapacityRequest
import cowslipcart.core.capacity.GrantEnd
import cowslipcart.core.capacity.GrantProgress
import cowslipcart.core.capacity.GrantReport
import cowslipcart.core.host.PeerMessage
import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.HostId
import cowslipcart.core.model.OrganisationId
import cowslipcart.core.model.PoolId
import cowslipcart.core.model.ShardId
import cowslipcart.core.model.Tier
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborArray

/**
 * Array form of a [PeerMessage.AskCapacity]. The order of the fields is part of the protocol.
 *
 * @property origin null if it is the sender
 * @property requestPool null if it is the pool of the shard
 * @property flags sum of [SUSPECT] and [INTERRUPTIBLE]
 */
@Serializable
@CborArray
internal class CompactAsk(
    val pool: String,
    val shardIndex: Int,
    val askCount: Long,
    val requestId: ByteArray,
    val origin: String?,
    val organisation: String,
    val tier: Int,
    val requestPool: String?,
    val timeLeftMs: Long?,
    val prefillTokens: Int,
    val outputTokens: Int,
    val prefixBlocks: ByteArray,
    val flags: Int,
    val resumeOn: String?
) {
    fun toMessage(sender: HostId): PeerMessage {
        val originHost = origin?.let { HostId(it) } ?: sender
        val shard = ShardId(PoolId(pool), shardIndex)
        val request = CapacityRequest(
            requestId = CompactIds.decodeRequestId(requestId, originHost),
            origin = originHost,
            organisation = OrganisationId(organisation),
            tier = Tier(tier),
            pool = requestPool?.let { PoolId(it) } ?: shard.pool,
            timeLeftMs = timeLeftMs,
            prefillTokens = prefillTokens,
            outputTokens = outputTokens,
            prefixBlocks = CompactIds.decodeBlocks(prefixBlocks),
            isSuspect = flags and SUSPECT != 0,
            isInterruptible = flags and INTERRUPTIBLE != 0,
            resumeOn = resumeOn?.let { EndpointId(it) }
        )
        return PeerMessage.AskCapacity(shard, request, askCount)
    }

    companion object {
        const val SUSPECT = 1
        const val INTERRUPTIBLE = 2
    }
}

internal fun PeerMessage.AskCapacity.toCompact(sender: HostId) = CompactAsk(
    pool = shard.pool.value,
    shardIndex = shard.index,
    askCount = askCount,
    requestId = CompactIds.encode(request.requestId, request.origin),
    origin = request.origin.takeIf { it != sender }?.value,
    organisation = request.organisation.value,
    tier = request.tier.rank,
    requestPool = request.pool.takeIf { it != shard.pool }?.value,
    timeLeftMs = request.timeLeftMs,
    prefillTokens = request.prefillTokens,
    outputTokens = request.outputTokens,
    prefixBlocks = CompactIds.encodeBlocks(request.prefixBlocks),
    flags = (if (request.isSuspect) CompactAsk.SUSPECT else 0) or
        (if (request.isInterruptible) CompactAsk.INTERRUPTIBLE else 0),
    resumeOn = request.resumeOn?.value
)

/** Array form of a [PeerMessage.CapacityGranted]. The receiver is the origin of the request. */
@Serializable
@CborArray
internal class CompactGrant(
    val pool: String,
    val shardIndex: Int,
    val requestId: ByteArray,
    val grantId: ByteArray,
    val endpoint: String,
    val askCount: Long
) {
    fun toMessage(receiver: HostId): PeerMessage = PeerMessage.CapacityGranted(
        ShardId(PoolId(pool), shardIndex),
        CompactIds.decodeRequestId(requestId, receiver),
        CompactIds.decodeGrantId(grantId),
        EndpointId(endpoint),
        askCount
    )
}

internal fun PeerMessage.CapacityGranted.toCompact(receiver: HostId) = CompactGrant(
    shard.pool.value,
    shard.index,
    CompactIds.encode(requestId, receiver),
    CompactIds.encode(grantId),
    endpoint.value,
    askCount
)

/** Array form of a [PeerMessage.CapacityReleased]. */
@Serializable
@CborArray
internal class CompactRelease(
    val pool: String,
    val shardIndex: Int,
    val grantId: ByteArray,
    val end: Int,
    val prefillTokens: Int,
    val cachedTokens: Int,
    val outputTokens: Int,
    val firstTokenMs: Long?,
    val durationMs: Long
) {
    fun toMessage(): PeerMessage {
        val report = GrantReport(
            grantId = CompactIds.decodeGrantId(grantId),
            end = requireNotNull(ENDS.getOrNull(end)) { "expected the end of a grant, found $end" },
            prefillTokens = prefillTokens,
            cachedTokens = cachedTokens,
            outputTokens = outputTokens,
            firstTokenMs = firstTokenMs,
            durationMs = durationMs
        )
        return PeerMessage.CapacityReleased(ShardId(PoolId(pool), shardIndex), report)
    }

    companion object {
        /** The index of an entry is its value on the wire, so entries keep their places. */
        val ENDS = listOf(
            GrantEnd.COMPLETED,
            GrantEnd.UNUSED,
            GrantEnd.CANCELLED,
            GrantEnd.FAILED
        )
    }
}

internal fun PeerMessage.CapacityReleased.toCompact() = CompactRelease(
    shard.pool.value,
    shard.index,
    CompactIds.encode(report.grantId),
    CompactRelease.ENDS.indexOf(report.end),
    report.prefillTokens,
    report.cachedTokens,
    report.outputTokens,
    report.firstTokenMs,
    report.durationMs
)

/** Array form of a [PeerMessage.CapacityProgress]. */
@Serializable
@CborArray
internal class CompactProgress(val pool: String, val shardIndex: Int, val reports: List<Report>) {
    @Serializable
    @CborArray
    class Report(val grantId: ByteArray, val sentTokens: Int)

    fun toMessage(): PeerMessage = PeerMessage.CapacityProgress(
        ShardId(PoolId(pool), shardIndex),
        reports.map { GrantProgress(CompactIds.decodeGrantId(it.grantId), it.sentTokens) }
    )
}

internal fun PeerMessage.CapacityProgress.toCompact() = CompactProgress(
    shard.pool.value,
    shard.index,
    reports.map { CompactProgress.Report(CompactIds.encode(it.grantId), it.sentTokens) }
)

/** Array form of [PeerMessage.QuotaAsk] and [PeerMessage.QuotaGranted]. */
@Serializable
@CborArray
internal class CompactQuota(val organisation: String, val tokens: Long) {
    fun toAsk(): PeerMessage = PeerMessage.QuotaAsk(OrganisationId(organisation), tokens)

    fun toGranted(): PeerMessage = PeerMessage.QuotaGranted(OrganisationId(organisation), tokens)
}
