package cowslipcart.wire.peer

import cowslipcart.core.model.AttemptId
import cowslipcart.core.model.ConfigFetchId
import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.Fingerprint
import cowslipcart.core.model.GrantId
import cowslipcart.core.model.HostId
import cowslipcart.core.model.IncarnationId
import cowslipcart.core.model.OrganisationId
import cowslipcart.core.model.RequestId
import cowslipcart.core.node.PeerMessage
import cowslipcart.core.quarantine.CrashReport

/** Converts the wire form to a message; null for an [ErrorMessage], which is only counted. */
internal fun PeerMessageDocument.toMessage(): PeerMessage? = when (this) {
    is PingMessage -> PeerMessage.Ping(content.toPing(), isReady, isLogReadable)

    is PingAckMessage -> PeerMessage.PingAck(content.toPing(), isReady, isLogReadable)

    is PingRequestMessage -> PeerMessage.PingRequest(HostId(target))

    is CapacityMessageDocument -> toCapacityMessage()

    is ClaimMessage -> PeerMessage.ClaimRequest(partition, claim.toItem())

    is ClaimReplyMessage -> PeerMessage.ClaimReply(AttemptId(attempt), verdict.toVerdict())

    is ClaimNoticeMessage -> PeerMessage.ClaimNotice(partition, item.toItem())

    is OutcomeQueryMessage -> PeerMessage.OutcomeQuery(
        organisation?.let { OrganisationId(it) },
        RequestId(requestId),
        IncarnationId(incarnation)
    )

    is OutcomeReplyMessage -> PeerMessage.OutcomeReply(
        organisation?.let { OrganisationId(it) },
        RequestId(requestId),
        outcome.toOutcome()
    )

    is KeyQueryMessage -> PeerMessage.KeyQuery(RequestId(requestId), key.toKey())

    is KeyReplyMessage -> PeerMessage.KeyReply(RequestId(requestId), standing)

    is CrashMessage -> PeerMessage.CrashNotice(
        CrashReport(
            crashId,
            EndpointId(endpoint),
            fingerprints.map { Fingerprint(it) },
            ranAlone,
            earlierEndpoints.mapTo(mutableSetOf()) { EndpointId(it) }
        )
    )

    is CrashAckMessage -> PeerMessage.CrashAck(crashId)

    is ConfigFetchMessage -> PeerMessage.ConfigFetch(ConfigFetchId(fetchId))

    is ConfigReplyMessage -> toReply()

    is ConfigPartFetchMessage ->
        PeerMessage.ConfigPartFetch(ConfigFetchId(fetchId), transferId, index)

    is ConfigPartMessage -> toPart()

    is QuotaAskMessage -> PeerMessage.QuotaAsk(OrganisationId(organisation), askedTokens)

    is QuotaGrantedMessage -> PeerMessage.QuotaGranted(OrganisationId(organisation), grantedTokens)

    is ErrorMessage -> null
}

private fun ConfigReplyMessage.toReply() =
    PeerMessage.ConfigReply(ConfigFetchId(fetchId), state.toState(), logReadAgeMs)

private fun ConfigPartMessage.toPart(): PeerMessage.ConfigPart {
    val found = checksumOf(reply)
    require(found == checksum) { "expected a part with checksum $checksum, found $found" }
    val decoded = peerCbor.decodeFromByteArray(ConfigReplyMessage.serializer(), reply)
    return PeerMessage.ConfigPart(
        decoded.toReply(),
        transferId,
        index,
        partCount,
        declarationCount
    )
}

private fun CapacityMessageDocument.toCapacityMessage(): PeerMessage = when (this) {
    is AskMessage -> PeerMessage.AskCapacity(shard.toShard(), request.toRequest(), askCount)

    is GrantedMessage -> PeerMessage.CapacityGranted(
        shard.toShard(),
        RequestId(requestId),
        GrantId(grantId),
        EndpointId(endpoint),
        askCount
    )

    is RefusedMessage ->
        PeerMessage.CapacityRefused(shard.toShard(), RequestId(requestId), reason, retryAfterMs)

    is ReleasedMessage -> PeerMessage.CapacityReleased(shard.toShard(), report.toReport())

    is ProgressMessage ->
        PeerMessage.CapacityProgress(shard.toShard(), reports.map { it.toProgress() })

    is CancelMessage -> PeerMessage.CancelAsk(shard.toShard(), RequestId(requestId))

    is GiveWayMessage ->
        PeerMessage.GiveWay(shard.toShard(), RequestId(requestId), GrantId(grantId))

    is GaveWayMessage ->
        PeerMessage.GaveWay(shard.toShard(), report.toReport(), resume?.toRequest())

    is RunningMessage ->
        PeerMessage.RunningReport(shard.toShard(), running.map { it.toRunning() })
}
