package cowslipcart.cli

import arrow.core.Either
import arrow.core.raise.either
import com.github.ajalt.clikt.command.SuspendingCliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.arguments.argument
import cowslipcart.wire.admin.PresetDocument
import cowslipcart.wire.admin.SwitchPresetRequest
import kotlinx.serialization.Serializable

/** Group of the commands for presets. */
internal class PresetCommand : SuspendingCliktCommand("preset") {
    override fun help(context: Context): String = "Switches and shows the preset in force."

    override suspend fun run() = Unit
}

/** `preset switch NAME`. */
internal class PresetSwitchCommand : ChangeCommand("switch", "Puts a declared preset in force.") {
    private val preset by argument("NAME")

    override suspend fun perform(client: AdminClient): Either<CliError, Unit> = either {
        val config = client.config().bind()
        val request = SwitchPresetRequest(config.revision, preset, author)
        val result = client.switchPreset(request).bind().toResult(changeCount = 1)
        report(ChangeResult.serializer(), result) {
            listOf("revision ${it.revision}: preset $preset accepted")
        }
    }
}

/**
 * Result of `preset status`.
 *
 * @property inForce preset in force at the daemon that was called
 * @property hostsBehind hosts that are not known to have [revision] in force
 */
@Serializable
internal data class PresetStatusDocument(
    val inForce: String?,
    val revision: Long,
    val declared: List<String>,
    val hostCount: Int,
    val hostsBehind: List<String>
)

/** `preset status`. */
internal class PresetStatusCommand :
    OperatorCommand("status", "Shows the preset in force and the hosts that do not have it yet.") {
    override suspend fun perform(client: AdminClient): Either<CliError, Unit> = either {
        val config = client.config().bind()
        val hosts = client.hosts().bind()
        val document = PresetStatusDocument(
            config.preset,
            config.revision,
            config.declarations.filterIsInstance<PresetDocument>().map { it.name }.sorted(),
            hosts.size,
            hosts.filter { (it.revision ?: -1) < config.revision }.map { it.host }.sorted()
        )
        report(PresetStatusDocument.serializer(), document) {
            listOf(
                "in force: ${it.inForce ?: "none"} at revision ${it.revision}",
                "declared: ${it.declared.joinToString()}",
                "hosts: ${it.hostCount - it.hostsBehind.size} of ${it.hostCount} have it"
            ) + it.hostsBehind.map { host -> "behind: $host" }
        }
    }
}
