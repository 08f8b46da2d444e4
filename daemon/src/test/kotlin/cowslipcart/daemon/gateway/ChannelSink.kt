package cowslipcart.daemon.gateway

import cowslipcart.daemon.http1.ByteSink
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.writeFully

/** Collects what is sent in [channel], without a network. */
internal class ChannelSink(private val channel: ByteWriteChannel) : ByteSink {
    override suspend fun send(bytes: ByteArray) {
        channel.writeFully(bytes)
        channel.flush()
    }

    override suspend fun finish() = channel.flushAndClose()
}
