package cowslipcart.cli

import com.github.ajalt.clikt.command.SuspendingCliktCommand
import com.github.ajalt.clikt.command.parse
import com.github.ajalt.clikt.completion.completionOption
import com.github.ajalt.clikt.core.CliktError
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.PrintHelpMessage
import com.github.ajalt.clikt.core.UsageError
import com.github.ajalt.clikt.core.subcommands

/** Root of the command line. */
internal class Cli : SuspendingCliktCommand("cowslipcart") {
    init {
        completionOption(help = "print a completion script for bash, zsh or fish")
    }

    override fun help(context: Context): String =
        "Declares and inspects the configuration of cowslipcart."

    override fun helpEpilog(context: Context): String =
        "Exit status: 0 ok; 1 refused, or another change came first; 2 wrong input; " +
            "3 daemon or log unreachable, a change may have taken effect."

    override suspend fun run() = Unit
}

/** Creates the root command with all subcommands. */
internal fun createCli(): Cli = Cli().apply {
    subcommands(
        PlanCommand(),
        ApplyCommand(),
        PresetCommand().subcommands(PresetSwitchCommand(), PresetStatusCommand()),
        HostsCommand(),
        EndpointsCommand(),
        DrainCommand(),
        RequestsCommand().subcommands(RequestShowCommand(), RequestExplainCommand()),
        LogCommand().subcommands(LogTailCommand())
    )
}

/** Runs [cli] with [arguments] and returns the [ExitStatus]. */
internal suspend fun execute(cli: Cli, arguments: List<String>): Int = try {
    cli.parse(arguments)
    ExitStatus.OK
} catch (e: CliktError) {
    cli.echoFormattedHelp(e)
    when (e) {
        is UsageError -> ExitStatus.WRONG_INPUT
        is PrintHelpMessage -> if (e.error) ExitStatus.WRONG_INPUT else ExitStatus.OK
        else -> e.statusCode
    }
}
