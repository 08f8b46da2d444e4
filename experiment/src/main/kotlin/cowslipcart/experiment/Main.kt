package cowslipcart.experiment

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.core.subcommands

/** Entry point of `bin/experiment`, `bin/compare` and `bin/report`. */
public fun main(args: Array<String>): Unit =
    ExperimentTool().subcommands(RunCommand(), CompareCommand(), ReportCommand()).main(args)

private class ExperimentTool : CliktCommand(name = "cowslipcart-experiment") {
    override fun run() = Unit
}
