package cowslipcart.standins.command

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.int
import cowslipcart.standins.http.StandinClock
import cowslipcart.standins.http.StandinServer
import io.ktor.server.routing.Route
import io.ktor.server.routing.routing
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.runBlocking

/** Subcommand that runs one HTTP server until the process gets SIGTERM. */
internal abstract class ServerCommand(name: String) : CliktCommand(name) {
    private val port by option(help = "port on 127.0.0.1; 0 for a free one").int().default(0)

    /** Adds the routes of the stand-in. */
    protected abstract fun addRoutes(route: Route, clock: StandinClock)

    override fun run() {
        val clock = StandinClock.start(wallMs = System::currentTimeMillis)
        val server = StandinServer(port) { routing { addRoutes(this, clock) } }
        println("listening ${StandinServer.HOST}:${server.start()}")
        runBlocking { awaitCancellation() }
    }
}
