package cowslipcart.wire.peer

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import cowslipcart.core.claims.ClaimVerdict
import cowslipcart.core.host.PeerMessage
import cowslipcart.core.model.HostId
import cowslipcart.wire.WireError
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException

/**
 * Version 2 of the frames between hosts: a CBOR sequence of the version, the number of the message
 * type and the message. Frequent messages are arrays without field names; all others are encoded
 * as in version 1. The sender is left out because the connection authenticates it.
 */
internal object CompactPeerCodec {
    const val VERSION = 2

    /** CBOR encodes each integer from 0 to below this as one byte of the same value. */
    const val SMALL_INT_LIMIT = 24
    private const val HEADER_BYTES = 2

    // Numbers of the message types; they are part of the protocol.
    // OTHER: a message without an array form, encoded as in version 1.
    private const val OTHER = 0
    private const val ASK = 1
    private const val GRANTED = 2
    private const val RELEASED = 3
    private const val PROGRESS = 4
    private const val PING = 5
    private const val PING_ACK = 6
    private const val QUOTA_ASK = 7
    private const val QUOTA_GRANTED = 8
    private const val CLAIM = 9
    private const val CLAIM_WON = 10

    fun encode(from: HostId, to: HostId, message: PeerMessage): ByteArray = when (message) {
        is PeerMessage.AskCapacity -> frame(ASK, CompactAsk.serializer(), message.toCompact(from))

        is PeerMessage.CapacityGranted ->
            frame(GRANTED, CompactGrant.serializer(), message.toCompact(to))

        is PeerMessage.CapacityReleased ->
            frame(RELEASED, CompactRelease.serializer(), message.toCompact())

        is PeerMessage.CapacityProgress ->
            frame(PROGRESS, CompactProgress.serializer(), message.toCompact())

        is PeerMessage.Ping ->
            frame(
                PING,
                CompactPing.serializer(),
                message.content.toCompact(from, message.isReady, message.isLogReadable)
            )

        is PeerMessage.PingAck -> frame(
            PING_ACK,
            CompactPing.serializer(),
            message.content.toCompact(from, message.isReady, message.isLogReadable)
        )

        is PeerMessage.QuotaAsk -> frame(
            QUOTA_ASK,
            CompactQuota.serializer(),
            CompactQuota(message.organisation.value, message.askedTokens)
        )

        is PeerMessage.QuotaGranted -> frame(
            QUOTA_GRANTED,
            CompactQuota.serializer(),
            CompactQuota(message.organisation.value, message.grantedTokens)
        )

        is PeerMessage.ClaimRequest ->
            frame(CLAIM, CompactClaim.serializer(), message.toCompact(from))

        is PeerMessage.ClaimReply if message.verdict == ClaimVerdict.Won ->
            frame(CLAIM_WON, CompactClaimWon.serializer(), message.toCompactWon(to))

        else -> frame(OTHER, PeerMessageDocument.serializer(), message.toDocument())
    }

    fun decode(frame: ByteArray, sender: HostId, receiver: HostId): Either<WireError, PeerFrame> =
        try {
            if (frame.size < HEADER_BYTES) {
                WireError.Malformed("expected a message type, found the end of the frame").left()
            } else {
                decodeBody(frame, sender, receiver)
            }
        } catch (e: SerializationException) {
            malformed(e).left()
        } catch (e: IllegalArgumentException) {
            malformed(e).left()
        } catch (e: IndexOutOfBoundsException) {
            malformed(e).left()
        }

    private fun decodeBody(
        frame: ByteArray,
        sender: HostId,
        receiver: HostId
    ): Either<WireError, PeerFrame> {
        val type = frame[1].toInt()
        val body = frame.copyOfRange(HEADER_BYTES, frame.size)
        val message = when (type) {
            OTHER -> read(PeerMessageDocument.serializer(), body).toMessage()
            ASK -> read(CompactAsk.serializer(), body).toMessage(sender)
            GRANTED -> read(CompactGrant.serializer(), body).toMessage(receiver)
            RELEASED -> read(CompactRelease.serializer(), body).toMessage()
            PROGRESS -> read(CompactProgress.serializer(), body).toMessage()
            PING -> read(CompactPing.serializer(), body).toPing(sender)
            PING_ACK -> read(CompactPing.serializer(), body).toPingAck(sender)
            QUOTA_ASK -> read(CompactQuota.serializer(), body).toAsk()
            QUOTA_GRANTED -> read(CompactQuota.serializer(), body).toGranted()
            CLAIM -> read(CompactClaim.serializer(), body).toMessage(sender)
            CLAIM_WON -> read(CompactClaimWon.serializer(), body).toMessage(receiver)
            else -> return WireError.UnknownMessage("number $type").left()
        }
        return PeerFrame(sender, message, VERSION).right()
    }

    private fun <T> frame(type: Int, serializer: KSerializer<T>, value: T): ByteArray =
        byteArrayOf(VERSION.toByte(), type.toByte()) + peerCbor.encodeToByteArray(serializer, value)

    private fun <T> read(serializer: KSerializer<T>, body: ByteArray): T =
        peerCbor.decodeFromByteArray(serializer, body)

    private fun malformed(e: Exception) =
        WireError.Malformed("expected a CBOR message, found: ${e.message}")
}
