package cowslipcart.experiment.scenario

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.defaultLazy
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import com.github.ajalt.clikt.parameters.types.restrictTo
import java.security.SecureRandom

/** `bin/history`: random histories. Exit status 1 if one violates a guarantee. */
internal class HistoryCommand : CliktCommand(name = "history") {
    private val seeds by option("--seeds", help = "number of histories")
        .int().restrictTo(min = 1).default(DEFAULT_SEEDS)
    private val firstSeed by option("--first-seed", help = "first seed; a fresh one by default")
        .long().defaultLazy { SecureRandom().nextInt(Int.MAX_VALUE / 2).toLong() }

    override fun help(context: Context): String =
        "Runs random sequences of calls and faults and checks the guarantees."

    override fun run() {
        val first = firstSeed
        echo("seeds from $first to ${first + seeds - 1}")
        val report = runHistories(first until first + seeds)
        report.failures.take(MAX_TRACES).forEach { echo("$it\n") }
        if (report.failures.isNotEmpty()) echo("failing: ${report.failures.map { it.seed }}")
        echo(report.summary)
        if (report.failures.isNotEmpty()) throw ProgramResult(statusCode = 1)
    }

    private companion object {
        const val DEFAULT_SEEDS = 1_000
        const val MAX_TRACES = 3
    }
}
