package cowslipcart.standins.command

import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.long
import cowslipcart.standins.hosts.HostDirectory
import cowslipcart.standins.http.Confined
import cowslipcart.standins.http.HostListState
import cowslipcart.standins.http.StandinClock
import cowslipcart.standins.http.hostRoutes
import io.ktor.server.routing.Route

/** Runs the platform's host list. */
internal class HostsCommand : ServerCommand("hosts") {
    private val lagMs by option(help = "delay until a change is visible").long().default(2_000)

    override fun addRoutes(route: Route, clock: StandinClock) {
        route.hostRoutes(Confined(HostListState(HostDirectory(lagMs))), clock.monotonicMs)
    }
}
