package cowslipcart.daemon.gateway

import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.SocketAddress
import io.ktor.utils.io.ByteChannel
import io.ktor.utils.io.ReaderJob
import io.ktor.utils.io.WriterJob
import io.ktor.utils.io.readRemaining
import io.ktor.utils.io.reader
import io.ktor.utils.io.writeFully
import io.ktor.utils.io.writer
import kotlin.coroutines.CoroutineContext
import kotlin.coroutines.EmptyCoroutineContext
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.awaitCancellation
import kotlinx.io.readByteArray

/** Gateway's end of a caller's connection, without a network, so that it runs on virtual time. */
internal class InMemorySocket(private val scope: CoroutineScope) : Socket {
    private lateinit var requests: ByteChannel
    private val responses = StringBuilder()

    /** Bytes that the caller has received. */
    val received: String get() = responses.toString()

    override val socketContext: Job = Job()
    override val coroutineContext: CoroutineContext = scope.coroutineContext + socketContext
    override val localAddress: SocketAddress = InetSocketAddress("127.0.0.1", 1)
    override val remoteAddress: SocketAddress = InetSocketAddress("127.0.0.1", 2)

    /** Sends [text] as the caller. */
    suspend fun send(text: String) {
        requests.writeFully(text.toByteArray())
        requests.flush()
    }

    override fun attachForReading(channel: ByteChannel): WriterJob {
        requests = channel
        return scope.writer(EmptyCoroutineContext, channel) { awaitCancellation() }
    }

    override fun attachForWriting(channel: ByteChannel): ReaderJob =
        scope.reader(EmptyCoroutineContext, channel) {
            responses.append(this.channel.readRemaining().readByteArray().decodeToString())
        }

    override fun close() {
        socketContext.cancel()
    }
}
