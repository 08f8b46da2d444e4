package cowslipcart.wire.peer

import cowslipcart.core.host.PeerMessage
import cowslipcart.wire.log.toClaimDocument
import cowslipcart.wire.log.toDocument

/** Converts a message to its wire form. */
internal fun PeerMessage.toDocument(): PeerMessageDocument = when (this) {
    is PeerMessage.Ping -> PingDocument(content.toDocument(), isReady, isLogReadable)

    is PeerMessage.PingAck ->
        PingAckDocument(content.toDocument(), isReady, isLogReadable)

    is PeerMessage.PingRequest -> PingRequestDocument(target.value)

    is PeerMessage.ToShardOwner -> toOwnerDocument()

    is PeerMessage.ToOrigin -> toOriginDocument()

    is PeerMessage.ClaimRequest -> ClaimDocument(partition, claim.toClaimDocument())

    is PeerMessage.ClaimNotice -> ClaimNoticeDocument(partition, item.toDocument())

    is PeerMessage.OutcomeQuery ->
        OutcomeQueryDocument(organisation?.value, requestId.value, incarnation.value)

    is PeerMessage.KeyQuery -> KeyQueryDocument(requestId.value, key.toDocument())

    is PeerMessage.KeyReply -> KeyReplyDocument(requestId.value, status)

    is PeerMessage.CrashNotice -> CrashDocument(
        report.crashId,
        report.endpoint.value,
        report.fingerprints.map { it.value },
        report.ranAlone,
        report.earlierEndpoints.map { it.value }
    )

    is PeerMessage.CrashAck -> CrashAckDocument(crashId)

    is PeerMessage.ConfigFetch -> ConfigFetchDocument(fetchId.value)

    is PeerMessage.ConfigReply -> toConfigReplyDocument()

    is PeerMessage.ConfigPartFetch ->
        ConfigPartFetchDocument(fetchId.value, transferId, index)

    is PeerMessage.ConfigPart -> toConfigPartDocument()

    is PeerMessage.QuotaAsk -> QuotaAskDocument(organisation.value, askedTokens)

    is PeerMessage.QuotaGranted -> QuotaGrantedDocument(organisation.value, grantedTokens)
}

private fun PeerMessage.ConfigReply.toConfigReplyDocument() =
    ConfigReplyDocument(fetchId.value, state.toDocument(), logReadAgeMs)

private fun PeerMessage.ConfigPart.toConfigPartDocument(): ConfigPartDocument {
    val bytes = peerCbor.encodeToByteArray(
        ConfigReplyDocument.serializer(),
        reply.toConfigReplyDocument()
    )
    return ConfigPartDocument(
        bytes,
        checksumOf(bytes),
        transferId,
        index,
        partCount,
        declarationCount
    )
}

private fun PeerMessage.ToShardOwner.toOwnerDocument(): PeerMessageDocument = when (this) {
    is PeerMessage.AskCapacity -> AskDocument(shard.toDocument(), request.toDocument(), askCount)

    is PeerMessage.CapacityReleased -> ReleasedDocument(shard.toDocument(), report.toDocument())

    is PeerMessage.CapacityProgress ->
        ProgressDocument(shard.toDocument(), reports.map { it.toDocument() })

    is PeerMessage.CancelAsk -> CancelDocument(shard.toDocument(), requestId.value)

    is PeerMessage.GaveWay ->
        GaveWayDocument(shard.toDocument(), report.toDocument(), resume?.toDocument())

    is PeerMessage.RunningReport ->
        RunningDocument(shard.toDocument(), running.map { it.toDocument() })
}

private fun PeerMessage.ToOrigin.toOriginDocument(): PeerMessageDocument = when (this) {
    is PeerMessage.CapacityGranted -> GrantedDocument(
        shard.toDocument(),
        requestId.value,
        grantId.value,
        endpoint.value,
        askCount
    )

    is PeerMessage.CapacityRefused ->
        RefusedDocument(shard.toDocument(), requestId.value, reason, retryAfterMs)

    is PeerMessage.GiveWay ->
        GiveWayDocument(shard.toDocument(), requestId.value, grantId.value)

    is PeerMessage.ClaimReply -> ClaimReplyDocument(attempt.value, verdict.toDocument())

    is PeerMessage.OutcomeReply ->
        OutcomeReplyDocument(organisation?.value, requestId.value, outcome.toDocument())
}
