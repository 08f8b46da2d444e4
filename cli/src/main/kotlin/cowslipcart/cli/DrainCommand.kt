package cowslipcart.cli

import arrow.core.Either
import arrow.core.raise.either
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import cowslipcart.core.model.DrainSpec
import cowslipcart.core.model.EndpointId
import cowslipcart.wire.admin.PublishRequest
import cowslipcart.wire.admin.toDocument

/** `drain ENDPOINT`. */
internal class DrainCommand :
    ChangeCommand("drain", "Gives an endpoint no new work; running requests finish.") {
    private val endpoint by argument("ENDPOINT")
    private val isUndone by option("--undo", help = "give the endpoint work again").flag()

    override suspend fun perform(client: AdminClient): Either<CliError, Unit> = either {
        val configuration = client.config().bind().toConfiguration()
        val id = EndpointId(endpoint)
        if (configuration.endpoints.none { it.id == id }) {
            raise(CliError.WrongInput(listOf("expected a declared endpoint, found '$endpoint'")))
        }
        val drain = DrainSpec(id)
        val isDrained = id in configuration.drainedEndpoints
        val result = if (isDrained != isUndone) {
            ChangeResult(configuration.revision.value, offset = null, changeCount = 0)
        } else {
            val request = PublishRequest(
                configuration.revision.value,
                upserts = listOf(drain.toDocument()).filter { !isUndone },
                deletes = listOf(drain.key.toDocument()).filter { isUndone },
                author
            )
            client.publish(request).bind().toResult(changeCount = 1)
        }
        report(ChangeResult.serializer(), result) {
            val state = if (isUndone) "takes work" else "is drained"
            listOf("revision ${it.revision}: $endpoint $state")
        }
    }
}
