package cowslipcart.cli

import kotlin.system.exitProcess
import kotlinx.coroutines.runBlocking

/** Entry point; exits with an [ExitStatus]. */
public fun main(args: Array<String>) {
    val status = runBlocking { execute(createCli(), args.toList()) }
    exitProcess(status)
}
