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
    } catch (e: UsageError) {
        command.echoFormattedHelp(e)
        // An unknown flag exits like an invalid value of a flag.
        exitProcess(EXIT_BAD_SETTINGS)
    } catch (e: CliktError) {
        command.echoFormattedHelp(e)
        exitProcess(e.statusCode)
    }
}
