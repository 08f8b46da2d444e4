package cowslipcart.wire.peer

import cowslipcart.core.host.PeerMessage
import cowslipcart.core.model.AttemptId
import cowslipcart.core.model.ConfigFetchId
import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.Fingerprint
import cowslipcart.core.model.GrantId
import cowslipcart.core.model.HostId
import cowslipcart.core.model.IncarnationId
import cowslipcart.core.model.OrganisationId
import cowslipcart.core.model.RequestId
import cowslipcart.core.quarantine.CrashReport

/** Converts the wire form to a message; null for an [ErrorDocument], which is only counted. */
internal fun PeerMessageDocument.toMessage(): PeerMessage? = when (this) {
    is PingDocument -> PeerMessage.Ping(content.toPing(), isReady, isLogReadable)

    is PingAckDocument -> PeerMessage.PingAck(content.toPing(), isReady, isLogReadable)

    is PingRequestDocument -> PeerMessage.PingRequest(HostId(target))

    is CapacityMessageDocument -> toCapacityMessage()

    is ClaimDocument -> PeerMessage.ClaimRequest(partition, claim.toItem())

    is ClaimReplyDocument -> PeerMessage.ClaimReply(AttemptId(attempt), verdict.toVerdict())

    is ClaimNoticeDocument -> PeerMessage.ClaimNotice(partition, item.toItem())

    is OutcomeQueryDocument -> PeerMessage.OutcomeQuery(
        organisation?.let { OrganisationId(it) },
        RequestId(requestId),
        IncarnationId(incarnation)
    )

    is OutcomeReplyDocument -> PeerMessage.OutcomeReply(
        organisation?.let { OrganisationId(it) },
        RequestId(requestId),
        outcome.toOutcome()
    )

    is KeyQueryDocument -> PeerMessage.KeyQuery(RequestId(requestId), key.toKey())

    is KeyReplyDocument -> PeerMessage.KeyReply(RequestId(requestId), standing)

    is CrashDocument -> PeerMessage.CrashNotice(
        CrashReport(
            crashId,
            EndpointId(endpoint),
            fingerprints.map { Fingerprint(it) },
            ranAlone,
            earlierEndpoints.mapTo(mutableSetOf()) { EndpointId(it) }
        )
    )

    is CrashAckDocument -> PeerMessage.CrashAck(crashId)

    is ConfigFetchDocument -> PeerMessage.ConfigFetch(ConfigFetchId(fetchId))

    is ConfigReplyDocument -> toConfigReply()

    is ConfigPartFetchDocument ->
        PeerMessage.ConfigPartFetch(ConfigFetchId(fetchId), transferId, index)

    is ConfigPartDocument -> toConfigPart()

    is QuotaAskDocument -> PeerMessage.QuotaAsk(OrganisationId(organisation), askedTokens)

    is QuotaGrantedDocument -> PeerMessage.QuotaGranted(OrganisationId(organisation), grantedTokens)

    is ErrorDocument -> null
}

private fun ConfigReplyDocument.toConfigReply() =
    PeerMessage.ConfigReply(ConfigFetchId(fetchId), state.toState(), logReadAgeMs)

private fun ConfigPartDocument.toConfigPart(): PeerMessage.ConfigPart {
    val found = checksumOf(reply)
    require(found == checksum) { "expected a part with checksum $checksum, found $found" }
    val decoded = peerCbor.decodeFromByteArray(ConfigReplyDocument.serializer(), reply)
    return PeerMessage.ConfigPart(
        decoded.toConfigReply(),
        transferId,
        index,
        partCount,
        declarationCount
    )
}

private fun CapacityMessageDocument.toCapacityMessage(): PeerMessage = when (this) {
    is AskDocument -> PeerMessage.AskCapacity(shard.toShard(), request.toRequest(), askCount)

    is GrantedDocument -> PeerMessage.CapacityGranted(
        shard.toShard(),
        RequestId(requestId),
        GrantId(grantId),
        EndpointId(endpoint),
        askCount
    )

    is RefusedDocument ->
        PeerMessage.CapacityRefused(shard.toShard(), RequestId(requestId), reason, retryAfterMs)

    is ReleasedDocument -> PeerMessage.CapacityReleased(shard.toShard(), report.toReport())

    is ProgressDocument ->
        PeerMessage.CapacityProgress(shard.toShard(), reports.map { it.toProgress() })

    is CancelDocument -> PeerMessage.CancelAsk(shard.toShard(), RequestId(requestId))

    is GiveWayDocument ->
        PeerMessage.GiveWay(shard.toShard(), RequestId(requestId), GrantId(grantId))

    is GaveWayDocument ->
        PeerMessage.GaveWay(shard.toShard(), report.toReport(), resume?.toRequest())

    is RunningDocument ->
        PeerMessage.RunningReport(shard.toShard(), running.map { it.toRunning() })
}
