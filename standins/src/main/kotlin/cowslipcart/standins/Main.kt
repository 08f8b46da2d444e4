package cowslipcart.standins

import com.github.ajalt.clikt.core.NoOpCliktCommand
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.core.subcommands
import cowslipcart.standins.command.EngineCommand
import cowslipcart.standins.command.HopCommand
import cowslipcart.standins.command.HostsCommand
import cowslipcart.standins.command.LoadCommand
import cowslipcart.standins.command.LogCommand
import cowslipcart.standins.command.PlatformCommand
import cowslipcart.standins.command.ServiceCommand

private class StandinCommand : NoOpCliktCommand(name = "standin")

/** Entry point: one subcommand per stand-in, and the tools that send load. */
public fun main(args: Array<String>) {
    // Set here and not by the file name logback.xml, which would apply to every program that has
    // this module on its class path.
    System.setProperty("logback.configurationFile", "standins-logback.xml")
    StandinCommand()
        .subcommands(
            LogCommand(),
            HostsCommand(),
            EngineCommand(),
            ServiceCommand(),
            LoadCommand(),
            HopCommand(),
            PlatformCommand()
        )
        .main(args)
}
