package cowslipcart.cli

import com.github.ajalt.clikt.command.SuspendingCliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.options.multiple
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.file

/** `requests explain ID --logs FILE...`. */
internal class RequestExplainCommand : SuspendingCliktCommand("explain") {
    private val id by argument("ID", help = "id of the request, as its caller sent it")
    private val logs by option("--logs", help = "log of a gateway; give it once for each host")
        .file(mustExist = true, canBeDir = false)
        .multiple(required = true)

    override fun help(context: Context): String =
        "Prints every decision on a request and what changed around it, from the logs of gateways."

    override suspend fun run() {
        val events = logs.flatMap { file ->
            file.useLines { lines ->
                lines.mapNotNull { parseGatewayEvent(file.name, it) }.toList()
            }
        }
        val explanation = explainRequest(id, events)
        if (explanation.isEmpty()) {
            echo("expected lines on request $id, found none in ${logs.size} logs", err = true)
            throw ProgramResult(ExitStatus.REFUSED)
        }
        explanation.forEach { echo(it) }
    }
}
