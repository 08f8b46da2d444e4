package cowslipcart.daemon.gateway

import cowslipcart.daemon.http1.ByteSource
import cowslipcart.daemon.http1.HeadParser
import cowslipcart.daemon.http1.Header
import cowslipcart.daemon.http1.MessageWriter
import cowslipcart.daemon.http1.SocketSink
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.openReadChannel
import java.io.IOException

/** Serves readiness checks of the load balancer and scrapes of metrics. */
internal class StatusConnection(
    private val state: GatewayState,
    private val metrics: GatewayMetrics,
    private val eventLog: GatewayEventLog,
    private val selector: SelectorManager
) {
    /** Serves [socket] until the peer closes it. */
    suspend fun serve(socket: Socket) {
        try {
            socket.use { open ->
                val source = ByteSource(open.openReadChannel())
                val sink = SocketSink(open, selector)
                while (true) {
                    val bytes = source.readHead(MAX_HEAD_BYTES) ?: break
                    sink.send(responseTo(HeadParser.parseRequest(bytes).path))
                }
                sink.finish()
            }
        } catch (e: IOException) {
            eventLog.event("status-connection-lost", "reason" to e.message)
        }
    }

    private fun responseTo(path: String): ByteArray {
        if (path == METRICS_PATH) return response(OK, metrics.render())
        val isReady = state.routing != null && state.areEndpointsLoaded && !state.isStopping
        return response(if (isReady) OK else UNAVAILABLE, ByteArray(0))
    }

    private fun response(status: Int, body: ByteArray): ByteArray {
        val headers = listOf(
            Header("Content-Type", "text/plain; version=0.0.4; charset=utf-8"),
            Header("Content-Length", "${body.size}")
        )
        return MessageWriter.responseHead(status, "", headers) + body
    }

    private companion object {
        const val MAX_HEAD_BYTES = 8_192
        const val METRICS_PATH = "/metrics"
        const val OK = 200
        const val UNAVAILABLE = 503
    }
}
