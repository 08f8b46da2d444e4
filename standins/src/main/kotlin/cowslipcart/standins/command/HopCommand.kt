package cowslipcart.standins.command

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.options.convert
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.multiple
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import com.github.ajalt.clikt.parameters.types.path
import com.github.ajalt.clikt.parameters.types.restrictTo
import cowslipcart.standins.hop.HopLevel
import cowslipcart.standins.hop.HopPlan
import cowslipcart.standins.hop.HopRunner
import cowslipcart.standins.hop.LevelFiguresJson
import cowslipcart.standins.hop.formatTable
import cowslipcart.standins.load.LoadClient
import cowslipcart.standins.load.LoadTarget
import kotlin.io.path.writeText
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.Json

/** Measures the latency that a daemon adds to an engine. */
internal class HopCommand : CliktCommand("hop") {
    private val engine by option(help = "engine, http://ADDRESS:PORT on loopback")
        .convert { text -> LoadTarget.parse(text).fold({ fail(it.toString()) }, { it }) }
        .required()
    private val daemon by option(help = "daemon in front of the engine")
        .convert { text -> LoadTarget.parse(text).fold({ fail(it.toString()) }, { it }) }
        .required()
    private val token by option(help = "bearer token of the organisation").required()
    private val model by option(help = "model that the daemon's configuration declares").required()
    private val levels by option("--level", help = "STREAMS:ROUNDS; repeatable")
        .convert { text -> parseLevel(text) ?: fail("expected STREAMS:ROUNDS, got $text") }
        .multiple(default = listOf(HopLevel(1, 100), HopLevel(16, 20), HopLevel(128, 8)))
    private val warmUp by option(help = "STREAMS:ROUNDS that run first and are not counted")
        .convert { text -> parseLevel(text) ?: fail("expected STREAMS:ROUNDS, got $text") }
        .default(HopLevel(WARM_UP_STREAMS, WARM_UP_ROUNDS))
    private val warmUpRounds by option(help = "rounds per level that are not counted")
        .int().restrictTo(min = 0).default(3)
    private val promptWords by option(help = "words in a prompt")
        .int().restrictTo(min = 1).default(12)
    private val maxTokens by option(help = "tokens in an answer")
        .int().restrictTo(min = 1).default(16)
    private val spreadMs by option(help = "time over which the streams of a round start")
        .long().restrictTo(min = 0).default(50)
    private val timeoutMs by option(help = "time after which an unfinished answer has failed")
        .long().restrictTo(min = 1).default(30_000)
    private val seed by option(help = "seed of the prompts and start times").long().default(1)
    private val jsonFile by option("--json", help = "file that gets the figures as JSON").path()

    override fun help(context: Context): String =
        "Sends the same requests directly and through a daemon and compares the times."

    override fun run() {
        val plan = HopPlan(
            engine,
            daemon,
            warmUp,
            levels,
            warmUpRounds,
            promptWords,
            maxTokens,
            spreadMs,
            seed
        )
        val figures = LoadClient(token, timeoutMs, model).use { client ->
            runBlocking(Dispatchers.Default) { HopRunner(plan, client).run() }
        }
        print(formatTable(figures))
        val text = json.encodeToString(figures)
        jsonFile?.writeText(text + "\n") ?: println(text)
        if (figures.any { it.hasFailures }) throw ProgramResult(1)
    }

    private val LevelFiguresJson.hasFailures get() = direct.failed + daemon.failed > 0

    private companion object {
        const val WARM_UP_STREAMS = 32
        const val WARM_UP_ROUNDS = 40
        val json = Json { prettyPrint = true }

        /** Returns null unless [text] is two positive numbers. */
        fun parseLevel(text: String): HopLevel? {
            val numbers = text.split(':').map { it.toIntOrNull()?.takeIf { n -> n >= 1 } }
            if (numbers.size != 2) return null
            return HopLevel(numbers[0] ?: return null, numbers[1] ?: return null)
        }
    }
}
