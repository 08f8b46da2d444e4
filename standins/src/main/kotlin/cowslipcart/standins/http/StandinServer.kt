package cowslipcart.standins.http

import io.ktor.server.application.Application
import io.ktor.server.cio.CIO
import io.ktor.server.cio.CIOApplicationEngine
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.embeddedServer
import kotlinx.coroutines.runBlocking

/** HTTP server of a stand-in on 127.0.0.1. */
internal class StandinServer(port: Int, private val module: Application.() -> Unit) :
    AutoCloseable {
    private val server: EmbeddedServer<CIOApplicationEngine, CIOApplicationEngine.Configuration> =
        embeddedServer(CIO, port = port, host = HOST) { module() }

    /** Starts the server and returns its port. */
    fun start(): Int {
        server.start(wait = false)
        return runBlocking { server.engine.resolvedConnectors().first().port }
    }

    override fun close() = server.stop(gracePeriodMillis = 0, timeoutMillis = STOP_TIMEOUT_MS)

    companion object {
        const val HOST = "127.0.0.1"
        private const val STOP_TIMEOUT_MS = 500L
    }
}
