package cowslipcart.daemon.gateway

import cowslipcart.daemon.http1.ByteInput
import cowslipcart.daemon.http1.ByteSource
import cowslipcart.wire.relay.RelayFrame
import java.io.IOException

/**
 * Bytes of an endpoint that another host relays in frames. A frame says how the endpoint's
 * connection ended, so that an answer without a length is not taken for whole if the relay stops.
 */
internal class RelayedInput(private val source: ByteSource) : ByteInput {
    private val header = ByteArray(RelayFrame.HEADER_BYTES)
    private var headerCount = 0
    private var remaining = 0
    private var isEnded = false

    override val hasBytes: Boolean get() = false

    override fun isIdle(): Boolean = !isEnded && remaining == 0 && headerCount == 0 && source.isIdle

    override suspend fun read(buffer: ByteArray, start: Int, length: Int): Int {
        while (remaining == 0 && !isEnded) readHeader()
        if (isEnded) return -1
        val count = source.read(buffer, start, minOf(length, remaining))
        if (count < 0) throw RelayLostException("the relay closed the connection")
        remaining -= count
        return count
    }

    private suspend fun readHeader() {
        while (headerCount < header.size) {
            val count = source.read(header, headerCount, header.size - headerCount)
            if (count < 0) throw RelayLostException("the relay closed the connection")
            headerCount += count
        }
        headerCount = 0
        when (val frame = RelayFrame.decode(header)) {
            is RelayFrame.Bytes -> remaining = frame.count
            RelayFrame.End -> isEnded = true
            RelayFrame.Lost -> throw IOException("the endpoint lost the connection")
        }
    }
}
