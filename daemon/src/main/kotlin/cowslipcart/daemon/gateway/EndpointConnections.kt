package cowslipcart.daemon.gateway

import cowslipcart.core.forwarding.EndpointEntry
import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.HostId
import cowslipcart.core.model.PoolId
import cowslipcart.daemon.control.RuntimeClock
import cowslipcart.daemon.http1.ByteInput
import cowslipcart.daemon.http1.ByteSource
import cowslipcart.daemon.http1.RequestBody
import cowslipcart.daemon.http1.ResponseHead
import cowslipcart.daemon.http1.SocketInput
import cowslipcart.daemon.http1.SocketSink
import io.ktor.network.selector.Selectable
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import java.io.IOException
import java.net.StandardSocketOptions
import java.nio.channels.ClosedChannelException
import java.nio.channels.SocketChannel
import kotlinx.coroutines.withTimeoutOrNull

/**
 * An open TCP connection to an endpoint, to a server of the platform or to another host.
 *
 * @property relay host that relays the connection to the endpoint; null if there is none
 * @property openInput what is read from the connection
 */
internal class ServerConnection(
    private val socket: Socket,
    private val selector: SelectorManager,
    val relay: HostId? = null,
    openInput: (Socket, SelectorManager) -> ByteInput = ::SocketInput
) {
    private val channel = (socket as Selectable).channel as SocketChannel
    private val sink = SocketSink(socket, selector)
    val source = ByteSource(openInput(socket, selector))

    /** Returns this connection as one to an endpoint that [relay] relays. */
    fun relayedBy(relay: HostId): ServerConnection =
        ServerConnection(socket, selector, relay) { _, _ -> RelayedInput(source) }

    /** Number of completed requests on this connection. */
    var useCount = 0

    /**
     * Sends [bytes]. What the kernel accepts at once is sent before this function suspends, so that
     * a check that was made right before holds for it.
     */
    suspend fun send(bytes: ByteArray) = sink.send(bytes)

    /**
     * Sends [head] and [body]. The first piece goes out together with the head, so that a short
     * request is one packet.
     */
    suspend fun send(head: ByteArray, body: RequestBody) {
        val pieces = body.pieces
        send(if (pieces.isEmpty()) head else head + pieces.first())
        for (index in 1 until pieces.size) send(pieces[index])
    }

    /** Closes the connection; what was sent still reaches the peer. */
    fun close() = socket.close()

    /**
     * Resets the connection and discards what was written and not yet sent, also in the kernel, as
     * nobody waits for the response to it.
     */
    fun abort() {
        try {
            channel.setOption(StandardSocketOptions.SO_LINGER, 0)
        } catch (_: ClosedChannelException) {
            return
        }
        channel.close()
        selector.notifyClosed(socket as Selectable)
        socket.close()
    }
}

/**
 * Connects to [ip] and [port]. Returns null after [timeoutMs]; throws an IOException if the
 * connection is refused.
 */
internal suspend fun SelectorManager.connectTo(
    ip: String,
    port: Int,
    timeoutMs: Long
): ServerConnection? {
    var established: ServerConnection? = null
    var isReturned = false
    try {
        return withTimeoutOrNull(timeoutMs) {
            val socket = aSocket(this@connectTo).tcp().connect(InetSocketAddress(ip, port)) {
                noDelay = true
            }
            ServerConnection(socket, this@connectTo).also { established = it }
        }.also { isReturned = it != null }
    } finally {
        // The result is dropped if the time is up between the connection and the end of the block.
        if (!isReturned) established?.abort()
    }
}

/**
 * Keep-alive connections to endpoints. A connection is reused only if nothing has arrived on it
 * since its last response, and only well before the endpoint closes it for being idle.
 *
 * @property maxIdleConnections bound on idle connections to one endpoint of a pool
 */
internal class EndpointConnections(
    private val selector: SelectorManager,
    private val clock: RuntimeClock,
    private val relays: RelayClient? = null,
    private val maxIdleConnections: (PoolId) -> Int
) {
    /** Where a connection leads, and the host that relays it, if there is one. */
    private data class Link(val endpoint: EndpointId, val relay: HostId?)

    private class IdleConnection(
        val connection: ServerConnection,
        val usableUntilMs: Long,
        val idleSinceMs: Long
    )

    // A plain lock, since a caller that is cancelled while it suspends would lose its connection.
    private val lock = Any()
    private val idleByLink = mutableMapOf<Link, ArrayDeque<IdleConnection>>()

    /**
     * Returns an idle connection that was idle for at most [maxIdleMs], or else a new one, or null
     * if the endpoint can't be connected to. With a [relay] that host connects to the endpoint;
     * throws a [RelayLostException] if it does not relay.
     */
    suspend fun acquire(
        endpoint: EndpointEntry,
        maxIdleMs: Long,
        relay: HostId? = null
    ): ServerConnection? {
        takeIdle(Link(endpoint.id, relay), maxIdleMs)?.let { return it }
        if (relay != null && relays != null) return relays.connect(relay, endpoint.id)
        return connect(endpoint)
    }

    /** Returns a new connection, or null if the endpoint can't be connected to. */
    suspend fun connect(endpoint: EndpointEntry): ServerConnection? = try {
        selector.connectTo(endpoint.ip, endpoint.port, CONNECT_TIMEOUT_MS)
    } catch (_: IOException) {
        null
    }

    /** Keeps [connection] for reuse, or closes it if [head], its last response, rules that out. */
    fun release(endpoint: EndpointEntry, connection: ServerConnection, head: ResponseHead) {
        val idleMs = idleTimeoutMs(head)
        if (idleMs <= 0 || !connection.source.isIdle) {
            connection.close()
            return
        }
        connection.useCount++
        val nowMs = clock.nowMs()
        synchronized(lock) {
            val link = Link(endpoint.id, connection.relay)
            val idle = idleByLink.getOrPut(link) { ArrayDeque() }
            idle += IdleConnection(connection, nowMs + idleMs, nowMs)
            if (idle.size > maxIdleConnections(endpoint.pool)) idle.removeFirst().connection.close()
        }
    }

    /** Closes connections that can't be reused, and those to endpoints that are not in [listed]. */
    fun evict(listed: Set<EndpointId>): Unit = synchronized(lock) {
        val nowMs = clock.nowMs()
        for ((link, idle) in idleByLink) {
            idle.removeAll { entry ->
                val isStale = link.endpoint !in listed || nowMs >= entry.usableUntilMs ||
                    !entry.connection.source.isIdle
                if (isStale) entry.connection.close()
                isStale
            }
        }
        idleByLink.values.removeIf { it.isEmpty() }
    }

    private fun takeIdle(link: Link, maxIdleMs: Long): ServerConnection? = synchronized(lock) {
        val idle = idleByLink[link] ?: return null
        while (idle.isNotEmpty()) {
            val entry = idle.removeLast()
            val nowMs = clock.nowMs()
            val isUsable = nowMs < entry.usableUntilMs &&
                nowMs - entry.idleSinceMs <= maxIdleMs && entry.connection.source.isIdle
            if (isUsable) return entry.connection
            entry.connection.close()
        }
        null
    }

    /** Returns how long the connection can safely stay idle, in ms; 0 if it can't be reused. */
    private fun idleTimeoutMs(head: ResponseHead): Long {
        if (head.headers.hasToken("Connection", "close")) return 0
        val stated = head.headers["Keep-Alive"]
            ?.split(',')
            ?.firstOrNull { it.trim().startsWith(TIMEOUT_PARAMETER) }
            ?.substringAfter('=')
            ?.trim()
            ?.toLongOrNull()
            ?: return DEFAULT_IDLE_MS
        return minOf(MAX_IDLE_MS, stated * MS_PER_S * IDLE_SAFETY_PERCENT / PERCENT)
    }

    private companion object {
        /** Connecting within a region takes a few ms; a lost packet is resent after 200 ms. */
        const val CONNECT_TIMEOUT_MS = 350L

        const val TIMEOUT_PARAMETER = "timeout="
        const val MS_PER_S = 1_000L
        const val PERCENT = 100L

        /**
         * Share of the stated timeout that is used, since the endpoint may close a little early.
         */
        const val IDLE_SAFETY_PERCENT = 60L

        /** Idle time for endpoints that state no timeout, in ms. */
        const val DEFAULT_IDLE_MS = 2_000L
        const val MAX_IDLE_MS = 30_000L
    }
}
