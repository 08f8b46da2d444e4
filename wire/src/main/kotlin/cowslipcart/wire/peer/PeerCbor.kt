package cowslipcart.wire.peer

import java.util.zip.CRC32
import kotlinx.serialization.BinaryFormat
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor

/** CBOR format of messages between hosts; fields that this version does not know are ignored. */
internal val peerCbor: BinaryFormat = createCbor(encodeDefaults = false)

/**
 * Like [peerCbor], with the fields that have their default value. An array needs them if a field
 * with another value follows, which would move to their place.
 */
internal val completePeerCbor: BinaryFormat = createCbor(encodeDefaults = true)

@OptIn(ExperimentalSerializationApi::class)
private fun createCbor(encodeDefaults: Boolean): BinaryFormat = Cbor {
    ignoreUnknownKeys = true
    alwaysUseByteString = true
    useDefiniteLengthEncoding = true
    this.encodeDefaults = encodeDefaults
}

/** CRC-32 of [bytes]. */
internal fun checksumOf(bytes: ByteArray): Long = CRC32().apply { update(bytes) }.value
