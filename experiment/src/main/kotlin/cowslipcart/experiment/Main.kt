package cowslipcart.experiment

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.core.subcommands
import cowslipcart.experiment.scenario.HistoryCommand

/** Entry point of `bin/experiment`, `bin/compare`, `bin/report`, `bin/history` and
 * `bin/experiment-gateway`. */
public fun main(args: Array<String>): Unit = ExperimentTool()
    .subcommands(
        RunCommand(),
        CompareCommand(),
        ReportCommand(),
        HistoryCommand(),
        GatewayCommand()
    )
    .main(args)

private class ExperimentTool : CliktCommand(name = "cowslipcart-experiment") {
    override fun run() = Unit
}
