package cowslipcart.wire.peer

import java.util.zip.CRC32
import kotlinx.serialization.BinaryFormat
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor

/** CBOR format of messages between hosts; fields that this version does not know are ignored. */
@OptIn(ExperimentalSerializationApi::class)
internal val peerCbor: BinaryFormat = Cbor {
    ignoreUnknownKeys = true
    alwaysUseByteString = true
    useDefiniteLengthEncoding = true
}

/** CRC-32 of [bytes]. */
internal fun checksumOf(bytes: ByteArray): Long = CRC32().apply { update(bytes) }.value
