package cowslipcart.daemon.http1

import cowslipcart.daemon.SocketAddressSetting
import cowslipcart.daemon.gateway.ServerConnection
import cowslipcart.daemon.gateway.connectTo
import io.ktor.network.selector.SelectorManager
import io.ktor.utils.io.ClosedByteChannelException
import java.io.IOException
import java.util.concurrent.ConcurrentHashMap
import kotlinx.coroutines.withTimeoutOrNull

/** A request to a service of the platform. */
public class HttpRequest(
    public val method: String,
    public val target: String,
    public val body: ByteArray? = null,
    public val headers: List<Pair<String, String>> = emptyList()
)

/** A response with its whole body. */
public class HttpResponse(
    public val status: Int,
    public val body: ByteArray,
    public val headers: Headers = Headers(emptyList())
)

/**
 * Sends requests to one server, on a keep-alive connection for each purpose. A connection on which
 * a request got no response is closed, since its response could be taken for that of the next one.
 *
 * @property address address of the server, read before each request
 */
public class HttpClient(
    private val selector: SelectorManager,
    private val address: () -> SocketAddressSetting
) {
    private class Idle(val address: SocketAddressSetting, val connection: ServerConnection)

    private val idleByPurpose = ConcurrentHashMap<String, Idle>()

    /**
     * Sends [request] on the connection for [purpose]. Returns null if the connection fails, there
     * is no response within [timeoutMs], or its body stops or takes [MAX_BODY_MS].
     */
    public suspend fun send(purpose: String, request: HttpRequest, timeoutMs: Long): HttpResponse? {
        val server = address()
        val idle = idleByPurpose.remove(purpose)
        var isReusable = false
        var used: ServerConnection? = null
        try {
            val head = withTimeoutOrNull(timeoutMs) {
                val connection = reuse(idle, server)
                    ?: selector.connectTo(server.ip, server.port, timeoutMs)
                used = connection
                connection?.let { exchange(server, it, request) }
            }
            val connection = used ?: return null
            if (head == null) return null
            val response = withTimeoutOrNull(MAX_BODY_MS) { receive(connection, head, request) }
            isReusable = response != null && connection.source.isIdle
            return response
        } catch (_: IOException) {
            return null
        } catch (_: ClosedByteChannelException) {
            return null
        } finally {
            used?.let {
                if (isReusable) idleByPurpose[purpose] = Idle(server, it) else it.abort()
            }
        }
    }

    private fun reuse(idle: Idle?, server: SocketAddressSetting): ServerConnection? {
        if (idle == null) return null
        if (idle.address == server && idle.connection.source.isIdle) return idle.connection
        idle.connection.close()
        return null
    }

    /** Sends [request] and returns the head of the response; null if there is none. */
    private suspend fun exchange(
        server: SocketAddressSetting,
        connection: ServerConnection,
        request: HttpRequest
    ): ResponseHead? {
        val body = request.body ?: ByteArray(0)
        val headers = listOf(Header("Host", server.toString())) +
            request.headers.map { Header(it.first, it.second) } +
            listOf(Header("Content-Length", "${body.size}"))
        val head = MessageWriter.requestHead(request.method, request.target, headers)
        connection.send(head + body)
        val headBytes = connection.source.readHead(MAX_HEAD_BYTES) ?: return null
        return HeadParser.parseResponse(headBytes)
    }

    /** Reads the body that follows [head]. */
    private suspend fun receive(
        connection: ServerConnection,
        head: ResponseHead,
        request: HttpRequest
    ): HttpResponse {
        val framing = HeadParser.responseFraming(head, request.method)
        val body = BodyReader(connection.source, framing).readAll(MAX_BODY_BYTES, MAX_SILENCE_MS)
        return HttpResponse(head.status, body, head.headers)
    }

    private companion object {
        const val MAX_HEAD_BYTES = 16_384

        /**
         * Twice the largest page of the platform's store, 1 MB of records in base64 and JSON. Three
         * tables are read at once, and the heap of a gateway is 72 MB.
         */
        const val MAX_BODY_BYTES = 3 * 1_024 * 1_024

        /** A body that is on its way shows that the server lives, in ms. */
        const val MAX_SILENCE_MS = 500L

        /** Time of a body of [MAX_BODY_BYTES] on a link of 10 Mbit/s, in ms. */
        const val MAX_BODY_MS = 2_500L
    }
}
