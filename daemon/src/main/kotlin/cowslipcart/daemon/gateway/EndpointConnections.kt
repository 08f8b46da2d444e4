package cowslipcart.daemon.gateway

import cowslipcart.core.forwarding.EndpointEntry
import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.PoolId
import cowslipcart.daemon.control.RuntimeClock
import cowslipcart.daemon.http1.ByteSource
import cowslipcart.daemon.http1.ResponseHead
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.ByteWriteChannel
import java.io.IOException
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.coroutines.withTimeoutOrNull

/** An open connection to a server. */
internal class ServerConnection(private val socket: Socket) {
    val source = ByteSource(socket.openReadChannel())
    val writer: ByteWriteChannel = socket.openWriteChannel(autoFlush = false)

    /** Requests that were sent on it before. */
    var useCount = 0

    fun close() = socket.close()
}

/** Connects to [ip] and [port], or returns null if that takes longer than [timeoutMs]. */
internal suspend fun SelectorManager.connectTo(
    ip: String,
    port: Int,
    timeoutMs: Long
): ServerConnection? = withTimeoutOrNull(timeoutMs) {
    val socket = aSocket(this@connectTo).tcp().connect(InetSocketAddress(ip, port)) {
        noDelay = true
    }
    ServerConnection(socket)
}

/**
 * Connections to endpoints that are kept between requests. A connection is used again only while
 * nothing has arrived on it since its last answer, and well before the endpoint closes it.
 */
internal class EndpointConnections(
    private val selector: SelectorManager,
    private val clock: RuntimeClock,
    private val keptLimit: (PoolId) -> Int
) {
    private class Kept(
        val connection: ServerConnection,
        val usableUntilMs: Long,
        val idleSinceMs: Long
    )

    private val mutex = Mutex()
    private val keptByEndpoint = mutableMapOf<EndpointId, ArrayDeque<Kept>>()

    /**
     * Returns a kept connection that was idle for at most [maxIdleMs], or a new one, or null if
     * none can be made.
     */
    suspend fun take(endpoint: EndpointEntry, maxIdleMs: Long): ServerConnection? {
        takeKept(endpoint.id, maxIdleMs)?.let { return it }
        return try {
            selector.connectTo(endpoint.ip, endpoint.port, CONNECT_TIMEOUT_MS)
        } catch (_: IOException) {
            null
        }
    }

    /** Keeps [connection] after the answer with [head], unless the endpoint closes it. */
    suspend fun keep(endpoint: EndpointEntry, connection: ServerConnection, head: ResponseHead) {
        val idleMs = idleTimeoutMs(head)
        if (idleMs <= 0 || !connection.source.isIdle) {
            connection.close()
            return
        }
        connection.useCount++
        val nowMs = clock.nowMs()
        mutex.withLock {
            val kept = keptByEndpoint.getOrPut(endpoint.id) { ArrayDeque() }
            kept += Kept(connection, nowMs + idleMs, nowMs)
            if (kept.size > keptLimit(endpoint.pool)) kept.removeFirst().connection.close()
        }
    }

    /** Closes connections that are too old, and those to endpoints that are not in [listed]. */
    suspend fun sweep(listed: Set<EndpointId>) = mutex.withLock {
        val nowMs = clock.nowMs()
        for ((endpoint, kept) in keptByEndpoint) {
            kept.removeAll { entry ->
                val isStale = endpoint !in listed || nowMs >= entry.usableUntilMs
                if (isStale) entry.connection.close()
                isStale
            }
        }
        keptByEndpoint.values.removeIf { it.isEmpty() }
    }

    private suspend fun takeKept(endpoint: EndpointId, maxIdleMs: Long): ServerConnection? =
        mutex.withLock {
            val kept = keptByEndpoint[endpoint] ?: return null
            while (kept.isNotEmpty()) {
                val entry = kept.removeLast()
                val nowMs = clock.nowMs()
                val isUsable = nowMs < entry.usableUntilMs &&
                    nowMs - entry.idleSinceMs <= maxIdleMs && entry.connection.source.isIdle
                if (isUsable) return entry.connection
                entry.connection.close()
            }
            null
        }

    /** How long the connection can safely wait for its next request; 0 if it can't be kept. */
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
        /** A connection within a region takes a few ms; a lost packet is sent again after 200. */
        const val CONNECT_TIMEOUT_MS = 350L

        const val TIMEOUT_PARAMETER = "timeout="
        const val MS_PER_S = 1_000L
        const val PERCENT = 100L

        /** Part of the stated timeout that is used; the endpoint may close a little early. */
        const val IDLE_SAFETY_PERCENT = 60L

        /** For endpoints that state no timeout, in ms. */
        const val DEFAULT_IDLE_MS = 2_000L
        const val MAX_IDLE_MS = 30_000L
    }
}
