package cowslipcart.wire.log

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import cowslipcart.core.claims.ClaimItem
import cowslipcart.core.claims.EpochEntry
import cowslipcart.core.config.ConfigEntry
import cowslipcart.core.orders.OwnerEntry
import cowslipcart.wire.WireError
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.cbor.Cbor

/**
 * Encodes the records of the log's streams as CBOR: an envelope with the version and the encoded
 * entry. Decoding malformed bytes gives an error.
 */
@OptIn(ExperimentalSerializationApi::class)
public object LogCodec {
    /** Version in the envelope of each record; a record of any other version is not decoded. */
    public const val VERSION: Int = 1

    private val cbor = Cbor {
        ignoreUnknownKeys = true
        alwaysUseByteString = true
        useDefiniteLengthEncoding = true
    }
    private val claimItems = ListSerializer(ClaimItemDocument.serializer())

    @Serializable
    private class Envelope(@SerialName("v") val version: Int, @SerialName("r") val body: ByteArray)

    /** Encodes a record of the stream `config`. */
    public fun encodeConfig(entry: ConfigEntry): ByteArray =
        encode(ConfigEntryDocument.serializer(), entry.toDocument())

    /** Decodes a record of the stream `config`. */
    public fun decodeConfig(payload: ByteArray): Either<WireError, ConfigEntry> =
        decode(ConfigEntryDocument.serializer(), payload).map { it.toEntry() }

    /** Encodes a record of the stream `epochs`. */
    public fun encodeEpoch(entry: EpochEntry): ByteArray =
        encode(EpochEntryDocument.serializer(), entry.toDocument())

    /** Decodes a record of the stream `epochs`. */
    public fun decodeEpoch(payload: ByteArray): Either<WireError, EpochEntry> =
        decode(EpochEntryDocument.serializer(), payload).map { it.toEntry() }

    /** Encodes a record of the stream `owners`. */
    public fun encodeOwner(entry: OwnerEntry): ByteArray =
        encode(OwnerEntryDocument.serializer(), entry.toDocument())

    /** Decodes a record of the stream `owners`. */
    public fun decodeOwner(payload: ByteArray): Either<WireError, OwnerEntry> =
        decode(OwnerEntryDocument.serializer(), payload).map { it.toEntry() }

    /** Encodes a record of the stream `claims-P` of partition P. */
    public fun encodeClaims(items: List<ClaimItem>): ByteArray =
        encode(claimItems, items.map { it.toDocument() })

    /** Decodes a record of the stream `claims-P` of partition P. */
    public fun decodeClaims(payload: ByteArray): Either<WireError, List<ClaimItem>> =
        decode(claimItems, payload).map { items -> items.map { it.toItem() } }

    private fun <T> encode(serializer: KSerializer<T>, value: T): ByteArray {
        val envelope = Envelope(VERSION, cbor.encodeToByteArray(serializer, value))
        return cbor.encodeToByteArray(Envelope.serializer(), envelope)
    }

    private fun <T> decode(serializer: KSerializer<T>, payload: ByteArray): Either<WireError, T> =
        try {
            val envelope = cbor.decodeFromByteArray(Envelope.serializer(), payload)
            if (envelope.version == VERSION) {
                cbor.decodeFromByteArray(serializer, envelope.body).right()
            } else {
                WireError.UnknownVersion(VERSION, envelope.version).left()
            }
        } catch (e: SerializationException) {
            malformed(e).left()
        } catch (e: IllegalArgumentException) {
            malformed(e).left()
        } catch (e: IndexOutOfBoundsException) {
            malformed(e).left()
        }

    private fun malformed(e: Exception) =
        WireError.Malformed("expected a CBOR log record, found: ${e.message}")
}
