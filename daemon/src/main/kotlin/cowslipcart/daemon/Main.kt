package cowslipcart.daemon

import com.github.ajalt.clikt.core.CliktError
import com.github.ajalt.clikt.core.UsageError
import com.github.ajalt.clikt.core.parse
import kotlin.system.exitProcess

/** Entry point of `cowslipcartd`. */
public fun main(args: Array<String>) {
    limitIoThreads()
    val command = DaemonCommand()
    try {
        command.parse(args)
    } catch (e: CliktError) {
        command.echoFormattedHelp(e)
        // An unknown flag exits like an invalid value of a flag.
        exitProcess(if (e is UsageError) EXIT_BAD_SETTINGS else e.statusCode)
    }
}
