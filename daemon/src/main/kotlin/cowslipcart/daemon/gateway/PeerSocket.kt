package cowslipcart.daemon.gateway

import cowslipcart.daemon.SocketAddressSetting
import cowslipcart.daemon.catchFailure
import java.io.IOException
import java.net.InetSocketAddress
import java.net.StandardProtocolFamily
import java.nio.ByteBuffer
import java.nio.channels.ClosedChannelException
import java.nio.channels.DatagramChannel
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

/**
 * UDP socket for datagrams between hosts, bound to [listen]. A thread of its own reads it and
 * sleeps in the kernel meanwhile: with a selector, each datagram would wake three threads in turn,
 * and most of the wake-ups of a host are for datagrams.
 *
 * @property onDatagram called on that thread for each datagram, with the address of its sender
 * @property onFailure called on that thread if reading or [onDatagram] throws; reading goes on
 */
internal class PeerSocket(
    listen: SocketAddressSetting,
    private val onDatagram: (ByteArray, InetSocketAddress) -> Unit,
    private val onFailure: (Throwable) -> Unit
) {
    private val channel = DatagramChannel.open(StandardProtocolFamily.INET)
        .bind(InetSocketAddress(listen.ip, listen.port))
    private val closed = CountDownLatch(1)

    /** Address that the socket is bound to. */
    val localAddress: InetSocketAddress get() = channel.localAddress as InetSocketAddress

    /** Starts to read. */
    fun start() = Thread(::receiveAll, "peers").apply { isDaemon = true }.start()

    /** Sends [bytes] to [address]. Throws an [IOException] if the kernel does not take them. */
    fun send(bytes: ByteArray, address: InetSocketAddress) {
        channel.send(ByteBuffer.wrap(bytes), address)
    }

    /** Ends the thread that reads. */
    fun close() {
        closed.countDown()
        channel.close()
    }

    private fun receiveAll() {
        val buffer = ByteBuffer.allocateDirect(MAX_DATAGRAM_BYTES)
        while (closed.count > 0) {
            val failure = catchFailure { receive(buffer) } ?: continue
            if (failure is ClosedChannelException) return
            catchFailure { onFailure(failure) }
            closed.await(FAILURE_DELAY_MS, TimeUnit.MILLISECONDS)
        }
    }

    private fun receive(buffer: ByteBuffer) {
        buffer.clear()
        val sender = channel.receive(buffer) as InetSocketAddress
        buffer.flip()
        onDatagram(ByteArray(buffer.remaining()).also { buffer.get(it) }, sender)
    }

    private companion object {
        const val MAX_DATAGRAM_BYTES = 65_535

        /** A socket that fails at each call may not keep a thread busy, in ms. */
        const val FAILURE_DELAY_MS = 200L
    }
}
