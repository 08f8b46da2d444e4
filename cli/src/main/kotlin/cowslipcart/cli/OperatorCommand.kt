package cowslipcart.cli

import arrow.core.Either
import com.github.ajalt.clikt.command.SuspendingCliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.defaultLazy
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.options.validate
import com.github.ajalt.clikt.parameters.types.choice
import io.ktor.http.URLParserException
import io.ktor.http.Url
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationStrategy
import kotlinx.serialization.json.Json

/** A command that calls the operator API of a daemon. */
internal abstract class OperatorCommand(name: String, private val helpText: String) :
    SuspendingCliktCommand(name) {
    private val server by option(
        "--server",
        envvar = "COWSLIPCART_SERVER",
        help = "URL of any daemon, for example http://127.0.0.1:8080"
    ).required().validate {
        require(isHttpUrl(it)) { "expected a URL such as http://127.0.0.1:8080, found '$it'" }
    }
    private val token by option(
        "--token",
        envvar = "COWSLIPCART_OPERATOR_TOKEN",
        help = "operator's bearer token; the variable keeps it out of the list of processes"
    ).required()
    private val output by option("--output", help = "form of the result")
        .choice("text", "json").default("text")

    override fun help(context: Context): String = helpText

    /** Runs the command; on an error the process ends with the exit status of the error. */
    abstract suspend fun perform(client: AdminClient): Either<CliError, Unit>

    override suspend fun run() {
        AdminClient(server, token).use { perform(it) }.onLeft { error ->
            if (output == "json") {
                val document = ErrorDocument(error.exitStatus, error.lines)
                echo(json.encodeToString(ErrorDocument.serializer(), document), err = true)
            } else {
                error.lines.forEach { echo(it, err = true) }
            }
            throw ProgramResult(error.exitStatus)
        }
    }

    /** Prints [document] as JSON or, by default, the lines that [text] makes of it. */
    fun <T> report(serializer: SerializationStrategy<T>, document: T, text: (T) -> List<String>) {
        if (output == "json") {
            echo(json.encodeToString(serializer, document))
        } else {
            text(document).forEach { echo(it) }
        }
    }

    private companion object {
        val json = Json {
            prettyPrint = true
            encodeDefaults = true
        }

        fun isHttpUrl(text: String): Boolean = try {
            text.startsWith("http") && Url(text).host.isNotEmpty()
        } catch (e: URLParserException) {
            false
        }
    }
}

/** A command that changes the configuration. */
internal abstract class ChangeCommand(name: String, helpText: String) :
    OperatorCommand(name, helpText) {
    val author by option(
        "--author",
        envvar = "COWSLIPCART_AUTHOR",
        help = "name that the log records with the change"
    ).defaultLazy { System.getProperty("user.name").orEmpty() }
}

/** Error as it is printed to standard error with `--output json`. */
@Serializable
internal data class ErrorDocument(val exitStatus: Int, val errors: List<String>)

/** Formats [rows] below [header] in aligned columns. */
internal fun formatTable(header: List<String>, rows: List<List<String>>): List<String> {
    val lines = listOf(header) + rows
    val widths = header.indices.map { column -> lines.maxOf { it[column].length } }
    return lines.map { line ->
        line.mapIndexed { column, cell -> cell.padEnd(widths[column]) }.joinToString("  ").trimEnd()
    }
}
