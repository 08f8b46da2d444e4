package cowslipcart.standins.command

import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.double
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import cowslipcart.standins.http.LogService
import cowslipcart.standins.http.StandinClock
import cowslipcart.standins.http.logRoutes
import cowslipcart.standins.log.LogStore
import cowslipcart.standins.log.LogStoreSettings
import io.ktor.server.routing.Route
import kotlin.random.Random

/** Runs the append-only log service. */
internal class LogCommand : ServerCommand("log") {
    private val defaults = LogStoreSettings()
    private val retentionMs by option(help = "age at which records are removed")
        .long().default(defaults.retentionMs)
    private val retentionRecords by option(help = "records that a stream keeps at most")
        .int().default(defaults.retentionRecords)
    private val appendRate by option(help = "appends per second over all streams")
        .double().default(defaults.appendsPerS)
    private val seed by option(help = "seed for the choice of lost answers").long().default(1)

    override fun addRoutes(route: Route, clock: StandinClock) {
        val store = LogStore(LogStoreSettings(retentionMs, retentionRecords, appendRate))
        route.logRoutes(LogService(store, Random(seed), clock.wallMs))
    }
}
