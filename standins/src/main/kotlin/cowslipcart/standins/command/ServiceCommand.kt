package cowslipcart.standins.command

import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.long
import com.github.ajalt.clikt.parameters.types.path
import cowslipcart.standins.http.JournalFile
import cowslipcart.standins.http.ServiceRuntime
import cowslipcart.standins.http.StandinClock
import cowslipcart.standins.http.serviceRoutes
import io.ktor.server.routing.Route

/** Runs a plain service, some of whose calls must not be repeated. */
internal class ServiceCommand : ServerCommand("service") {
    private val delayMs by option(help = "delay before a call takes effect").long().default(0)
    private val journalFile by option(help = "file that gets a line per call that ran").path()

    override fun addRoutes(route: Route, clock: StandinClock) {
        val file = journalFile?.let { JournalFile(it) }
        route.serviceRoutes(ServiceRuntime(delayMs, clock.wallMs, file))
    }
}
