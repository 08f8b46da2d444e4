package cowslipcart.daemon.http1

import cowslipcart.daemon.SocketAddressSetting
import cowslipcart.daemon.gateway.ServerConnection
import cowslipcart.daemon.gateway.connectTo
import io.ktor.network.selector.SelectorManager
import io.ktor.utils.io.ClosedByteChannelException
import java.io.IOException
import java.util.concurrent.ConcurrentHashMap
import kotlinx.coroutines.withTimeoutOrNull

/** A small request to a service of the platform. */
public class HttpRequest(
    public val method: String,
    public val target: String,
    public val body: ByteArray? = null,
    public val headers: List<Pair<String, String>> = emptyList()
)

/** An answer with its whole body. */
public class HttpResponse(public val status: Int, public val body: ByteArray)

/**
 * Sends calls to one server, on a kept connection for each purpose. A connection on which a call
 * got no answer is not used again, since its answer could arrive in place of the next one.
 */
public class HttpClient(
    private val selector: SelectorManager,
    private val address: () -> SocketAddressSetting
) {
    private class Open(val address: SocketAddressSetting, val connection: ServerConnection)

    private val connectionsByPurpose = ConcurrentHashMap<String, Open>()

    /** Sends [call]; returns null if there is no answer within [timeoutMs]. */
    public suspend fun send(purpose: String, call: HttpRequest, timeoutMs: Long): HttpResponse? {
        val server = address()
        val open = connectionsByPurpose.remove(purpose)
        var isReusable = false
        var used: ServerConnection? = null
        try {
            return withTimeoutOrNull(timeoutMs) {
                val connection = reuse(open, server)
                    ?: selector.connectTo(server.ip, server.port, timeoutMs)
                    ?: return@withTimeoutOrNull null
                used = connection
                val reply = exchange(server, connection, call)
                isReusable = reply != null && connection.source.isIdle
                reply
            }
        } catch (_: IOException) {
            return null
        } catch (_: ClosedByteChannelException) {
            return null
        } finally {
            used?.let {
                if (isReusable) connectionsByPurpose[purpose] = Open(server, it) else it.close()
            }
        }
    }

    private fun reuse(open: Open?, server: SocketAddressSetting): ServerConnection? {
        if (open == null) return null
        if (open.address == server && open.connection.source.isIdle) return open.connection
        open.connection.close()
        return null
    }

    private suspend fun exchange(
        server: SocketAddressSetting,
        connection: ServerConnection,
        call: HttpRequest
    ): HttpResponse? {
        val body = call.body ?: ByteArray(0)
        val headers = listOf(Header("Host", server.toString())) +
            call.headers.map { Header(it.first, it.second) } +
            listOf(Header("Content-Length", "${body.size}"))
        val head = MessageWriter.requestHead(call.method, call.target, headers)
        connection.writer.send(head + body)
        val answer = connection.source.readHead(MAX_HEAD_BYTES) ?: return null
        val parsed = HeadParser.parseResponse(answer)
        val framing = HeadParser.responseFraming(parsed, call.method)
        return HttpResponse(
            parsed.status,
            BodyReader(connection.source, framing).readAll(MAX_BODY_BYTES)
        )
    }

    private companion object {
        const val MAX_HEAD_BYTES = 16_384

        /** Largest page of the platform's store, with room for its encoding. */
        const val MAX_BODY_BYTES = 16 * 1_024 * 1_024
    }
}
