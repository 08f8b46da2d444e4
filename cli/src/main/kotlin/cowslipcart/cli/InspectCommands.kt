package cowslipcart.cli

import arrow.core.Either
import arrow.core.raise.either
import com.github.ajalt.clikt.command.SuspendingCliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.long
import cowslipcart.wire.admin.EndpointStatusDocument
import cowslipcart.wire.admin.HostDocument
import cowslipcart.wire.admin.LogRecordDocument
import cowslipcart.wire.admin.RequestDocument
import java.time.Instant
import kotlinx.serialization.builtins.ListSerializer

/** `hosts`. */
internal class HostsCommand : OperatorCommand("hosts", "Lists the live entry hosts.") {
    override suspend fun perform(client: AdminClient): Either<CliError, Unit> = either {
        report(ListSerializer(HostDocument.serializer()), client.hosts().bind()) { hosts ->
            formatTable(
                listOf("HOST", "ADDRESS", "DOMAIN", "READY", "OWNER", "REVISION", "PRESET"),
                hosts.map {
                    listOf(
                        it.host,
                        it.peerAddress,
                        it.domain,
                        it.isReady.orDash(),
                        it.isOwner.toString(),
                        it.revision.orDash(),
                        it.preset.orDash()
                    )
                }
            )
        }
    }
}

/** `endpoints`. */
internal class EndpointsCommand : OperatorCommand("endpoints", "Lists the declared endpoints.") {
    override suspend fun perform(client: AdminClient): Either<CliError, Unit> = either {
        val endpoints = client.endpoints().bind()
        report(ListSerializer(EndpointStatusDocument.serializer()), endpoints) { list ->
            formatTable(
                listOf("ENDPOINT", "POOL", "ADDRESS", "DOMAIN", "SLOTS", "DRAINED"),
                list.map {
                    listOf(
                        it.endpoint.id,
                        it.endpoint.pool,
                        it.endpoint.address,
                        it.endpoint.domain,
                        it.endpoint.slotCount.toString(),
                        it.isDrained.toString()
                    )
                }
            )
        }
    }
}

/** Group of the commands for requests. */
internal class RequestsCommand : SuspendingCliktCommand("requests") {
    override fun help(context: Context): String = "Shows requests."

    override suspend fun run() = Unit
}

/** `requests show ID`. */
internal class RequestShowCommand : OperatorCommand("show", "Shows the outcome of a request.") {
    private val id by argument("ID")

    override suspend fun perform(client: AdminClient): Either<CliError, Unit> = either {
        report(RequestDocument.serializer(), client.request(id).bind()) {
            listOf("${it.id}: ${it.outcome}")
        }
    }
}

/** Group of the commands for the log. */
internal class LogCommand : SuspendingCliktCommand("log") {
    override fun help(context: Context): String = "Shows the configuration stream."

    override suspend fun run() = Unit
}

/** `log tail`. */
internal class LogTailCommand :
    OperatorCommand("tail", "Shows the latest records of the configuration stream.") {
    private val from by option("--from", help = "offset of the first record to show").long()
    private val count by option("--count", help = "records to show without --from")
        .long().default(20)

    override suspend fun perform(client: AdminClient): Either<CliError, Unit> = either {
        val first = from ?: (client.config().bind().offset - count).coerceAtLeast(0)
        val records = client.log(first).bind()
        report(ListSerializer(LogRecordDocument.serializer()), records) { list ->
            formatTable(
                listOf("OFFSET", "APPENDED", "KIND", "AUTHOR", "BASE", "SUMMARY"),
                list.map {
                    listOf(
                        it.offset.toString(),
                        Instant.ofEpochMilli(it.appendedAtMs).toString(),
                        it.kind,
                        it.author.orDash(),
                        it.baseRevision.orDash(),
                        it.summary
                    )
                }
            )
        }
    }
}

private fun Any?.orDash(): String = this?.toString() ?: "-"
