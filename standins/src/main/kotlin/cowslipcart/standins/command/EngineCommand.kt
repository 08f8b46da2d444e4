package cowslipcart.standins.command

import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.double
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import com.github.ajalt.clikt.parameters.types.path
import cowslipcart.standins.engine.EngineSettings
import cowslipcart.standins.engine.createEngineModel
import cowslipcart.standins.http.EngineRuntime
import cowslipcart.standins.http.JournalFile
import cowslipcart.standins.http.StandinClock
import cowslipcart.standins.http.engineRoutes
import io.ktor.server.routing.Route

/** Runs a model engine. */
internal class EngineCommand : ServerCommand("engine") {
    private val defaults = EngineSettings()
    private val baseStepUs by option(help = "duration of an empty step")
        .long().default(defaults.baseStepUs)
    private val sequenceStepUs by option(help = "step duration per decoding request")
        .long().default(defaults.sequenceStepUs)
    private val prefillTokenUs by option(help = "step duration per prompt token")
        .long().default(defaults.prefillTokenUs)
    private val prefillTokensPerStep by option(help = "prompt tokens that a step reads at most")
        .int().default(defaults.prefillTokensPerStep)
    private val cacheTokens by option(help = "size of the prefix cache")
        .long().default(defaults.cacheTokens)
    private val resumeHandleMs by option(help = "how long a cancelled stream can be resumed")
        .long().default(defaults.resumeHandleMs)
    private val loadIntervalMs by option(help = "interval of the load reports")
        .long().default(defaults.loadIntervalMs)
    private val cacheEventLagMs by option(help = "delay of cache events")
        .long().default(defaults.cacheEventLagMs)
    private val cacheEventLossRate by option(help = "share of cache events that are lost")
        .double().default(defaults.cacheEventLossRate)
    private val orderDurationMs by option(help = "time until an order is in force")
        .long().default(defaults.orderDurationMs)
    private val ignoreFencing by option(help = "take orders with an old fencing number").flag()
    private val seed by option(help = "seed for the choice of lost cache events")
        .long().default(defaults.seed)
    private val slowFactor by option(help = "factor on the duration of each step")
        .double().default(1.0)
    private val admissionDelayMs by option(help = "time until a request is given to the engine")
        .long().default(0)
    private val poisonMarker by option(help = "word in a prompt that crashes the engine")
        .default("CRASH-ENGINE")
    private val journalFile by option(help = "file that gets a line per request received").path()

    override fun addRoutes(route: Route, clock: StandinClock) {
        val model = createEngineModel(settings())
        model.setSlowFactor(slowFactor, clock.monotonicMs())
        val runtime = EngineRuntime(model, poisonMarker, clock) {
            // Ends the process at once, so that all connections break as in a real crash.
            Runtime.getRuntime().halt(CRASH_EXIT_CODE)
        }
        route.engineRoutes(
            runtime,
            clock,
            journalFile?.let { JournalFile(it) },
            admissionDelayMs
        )
    }

    private fun settings() = EngineSettings(
        baseStepUs,
        sequenceStepUs,
        prefillTokenUs,
        prefillTokensPerStep,
        cacheTokens,
        resumeHandleMs,
        loadIntervalMs,
        cacheEventLagMs,
        cacheEventLossRate,
        orderDurationMs,
        checksFencing = !ignoreFencing,
        seed
    )

    private companion object {
        /** `EX_SOFTWARE` of sysexits: internal software error. */
        const val CRASH_EXIT_CODE = 70
    }
}
