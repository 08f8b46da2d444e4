package cowslipcart.wire.relay

import arrow.core.Either
import cowslipcart.core.store.StoreUpdate
import cowslipcart.wire.datagram.DatagramCodec
import cowslipcart.wire.datagram.PeerDatagram

/**
 * A host asks another one for the configuration that it holds. The answer is a line with a number
 * of bytes, and that many bytes of an update; hosts that have none, or don't know the request,
 * answer with a line that is no number.
 */
public object ConfigurationExchange {
    /** Most bytes of an answer; larger than any configuration that the platform's store takes. */
    public const val MAX_ANSWER_BYTES: Int = 4 * 1_024 * 1_024

    internal const val REQUEST_LINE = "cowslipcart-configuration/1"
    private const val LINE_END = "\r\n"

    /** Encodes the request. */
    public fun encodeRequest(): ByteArray = "$REQUEST_LINE$LINE_END".encodeToByteArray()

    /** Encodes the answer; [held] is null if the host has none. */
    public fun encodeAnswer(held: StoreUpdate.Configuration?): ByteArray {
        if (held == null) return "none$LINE_END".encodeToByteArray()
        val update = DatagramCodec.encode(PeerDatagram.Update(held))
        return "${update.size}$LINE_END".encodeToByteArray() + update
    }

    /** Returns how many bytes follow the first [line] of an answer; null if none. */
    public fun decodeCount(line: String): Int? =
        line.toIntOrNull()?.takeIf { it in 1..MAX_ANSWER_BYTES }

    /** Decodes the [bytes] of an answer; returns null if they are no configuration. */
    public fun decodeUpdate(bytes: ByteArray): StoreUpdate.Configuration? {
        val decoded = DatagramCodec.decode(bytes) as? Either.Right ?: return null
        val update = (decoded.value as? PeerDatagram.Update)?.update as? StoreUpdate.Configuration
        return update?.takeIf { it.record != null }
    }
}
