package cowslipcart.wire.peer

import cowslipcart.core.node.PeerMessage
import cowslipcart.wire.log.toClaimDocument
import cowslipcart.wire.log.toDocument

/** Converts a message to its wire form. */
internal fun PeerMessage.toDocument(): PeerMessageDocument = when (this) {
    is PeerMessage.Ping -> PingMessage(content.toDocument(), isReady, isLogReadable)

    is PeerMessage.PingAck ->
        PingAckMessage(content.toDocument(), isReady, isLogReadable)

    is PeerMessage.PingRequest -> PingRequestMessage(target.value)

    is PeerMessage.ToShardOwner -> toOwnerDocument()

    is PeerMessage.ToOrigin -> toOriginDocument()

    is PeerMessage.ClaimRequest -> ClaimMessage(partition, claim.toClaimDocument())

    is PeerMessage.ClaimNotice -> ClaimNoticeMessage(partition, item.toDocument())

    is PeerMessage.OutcomeQuery ->
        OutcomeQueryMessage(organisation?.value, requestId.value, incarnation.value)

    is PeerMessage.KeyQuery -> KeyQueryMessage(requestId.value, key.toDocument())

    is PeerMessage.KeyReply -> KeyReplyMessage(requestId.value, standing)

    is PeerMessage.CrashNotice -> CrashMessage(
        report.crashId,
        report.endpoint.value,
        report.fingerprints.map { it.value },
        report.ranAlone,
        report.earlierEndpoints.map { it.value }
    )

    is PeerMessage.CrashAck -> CrashAckMessage(crashId)

    is PeerMessage.ConfigFetch -> ConfigFetchMessage(fetchId.value)

    is PeerMessage.ConfigReply -> toReplyDocument()

    is PeerMessage.ConfigPartFetch ->
        ConfigPartFetchMessage(fetchId.value, transferId, index)

    is PeerMessage.ConfigPart -> toPartDocument()

    is PeerMessage.QuotaAsk -> QuotaAskMessage(organisation.value, askedTokens)

    is PeerMessage.QuotaGranted -> QuotaGrantedMessage(organisation.value, grantedTokens)
}

private fun PeerMessage.ConfigReply.toReplyDocument() =
    ConfigReplyMessage(fetchId.value, state.toDocument(), logReadAgeMs)

private fun PeerMessage.ConfigPart.toPartDocument(): ConfigPartMessage {
    val bytes = peerCbor.encodeToByteArray(
        ConfigReplyMessage.serializer(),
        reply.toReplyDocument()
    )
    return ConfigPartMessage(
        bytes,
        checksumOf(bytes),
        transferId,
        index,
        partCount,
        declarationCount
    )
}

private fun PeerMessage.ToShardOwner.toOwnerDocument(): PeerMessageDocument = when (this) {
    is PeerMessage.AskCapacity -> AskMessage(shard.toDocument(), request.toDocument(), askCount)

    is PeerMessage.CapacityReleased -> ReleasedMessage(shard.toDocument(), report.toDocument())

    is PeerMessage.CapacityProgress ->
        ProgressMessage(shard.toDocument(), reports.map { it.toDocument() })

    is PeerMessage.CancelAsk -> CancelMessage(shard.toDocument(), requestId.value)

    is PeerMessage.GaveWay ->
        GaveWayMessage(shard.toDocument(), report.toDocument(), resume?.toDocument())

    is PeerMessage.RunningReport ->
        RunningMessage(shard.toDocument(), running.map { it.toDocument() })
}

private fun PeerMessage.ToOrigin.toOriginDocument(): PeerMessageDocument = when (this) {
    is PeerMessage.CapacityGranted -> GrantedMessage(
        shard.toDocument(),
        requestId.value,
        grantId.value,
        endpoint.value,
        askCount
    )

    is PeerMessage.CapacityRefused ->
        RefusedMessage(shard.toDocument(), requestId.value, reason, retryAfterMs)

    is PeerMessage.GiveWay ->
        GiveWayMessage(shard.toDocument(), requestId.value, grantId.value)

    is PeerMessage.ClaimReply -> ClaimReplyMessage(attempt.value, verdict.toDocument())

    is PeerMessage.OutcomeReply ->
        OutcomeReplyMessage(organisation?.value, requestId.value, outcome.toDocument())
}
