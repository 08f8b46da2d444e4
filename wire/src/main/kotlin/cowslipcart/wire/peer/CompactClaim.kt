@file:OptIn(ExperimentalSerializationApi::class)

package cowslipcart.wire.peer

import cowslipcart.core.claims.ClaimItem
import cowslipcart.core.claims.ClaimVerdict
import cowslipcart.core.claims.ProcessId
import cowslipcart.core.claims.RequestKey
import cowslipcart.core.host.PeerMessage
import cowslipcart.core.model.AttemptId
import cowslipcart.core.model.Fingerprint
import cowslipcart.core.model.HostId
import cowslipcart.core.model.IncarnationId
import cowslipcart.core.model.OrganisationId
import cowslipcart.core.model.RequestId
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborArray

/** Array form of a [PeerMessage.ClaimRequest]; [host] is null if it is the sender. */
@Serializable
@CborArray
internal class CompactClaim(
    val partition: Int?,
    val organisation: String,
    val uuid: ByteArray,
    val keyTimeMs: Long,
    val attempt: ByteArray,
    val fingerprint: ByteArray,
    val host: String?,
    val incarnation: Long
) {
    fun toMessage(sender: HostId): PeerMessage {
        val process =
            ProcessId(host?.let { HostId(it) } ?: sender, IncarnationId(incarnation))
        val key = RequestKey(OrganisationId(organisation), CompactIds.decodeUuid(uuid), keyTimeMs)
        val claim = ClaimItem.Claim(
            key,
            decodeAttempt(attempt, process.host),
            Fingerprint(CompactIds.decodeHash(fingerprint)),
            process
        )
        return PeerMessage.ClaimRequest(partition, claim)
    }
}

internal fun PeerMessage.ClaimRequest.toCompact(sender: HostId) = CompactClaim(
    partition,
    claim.key.organisation.value,
    CompactIds.encodeUuid(claim.key.uuid),
    claim.key.keyTimeMs,
    encodeAttempt(claim.attempt, claim.origin.host),
    CompactIds.encodeHash(claim.fingerprint.value),
    claim.origin.host.takeIf { it != sender }?.value,
    claim.origin.incarnation.value
)

/** Array form of a [PeerMessage.ClaimReply] that tells the receiver that its claim won. */
@Serializable
@CborArray
internal class CompactClaimWon(val attempt: ByteArray) {
    fun toMessage(receiver: HostId): PeerMessage =
        PeerMessage.ClaimReply(decodeAttempt(attempt, receiver), ClaimVerdict.Won)
}

internal fun PeerMessage.ClaimReply.toCompactWon(receiver: HostId) =
    CompactClaimWon(encodeAttempt(attempt, receiver))

/** Attempt ids have the form of request ids and are encoded like them. */
private fun encodeAttempt(attempt: AttemptId, host: HostId) =
    CompactIds.encode(RequestId(attempt.value), host)

private fun decodeAttempt(bytes: ByteArray, host: HostId) =
    AttemptId(CompactIds.decodeRequestId(bytes, host).value)
