package cowslipcart.cli

import arrow.core.Either
import arrow.core.left
import arrow.core.raise.either
import arrow.core.right
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.file
import com.github.ajalt.clikt.parameters.types.long
import cowslipcart.core.model.Declaration
import cowslipcart.wire.admin.AcceptedResponse
import cowslipcart.wire.admin.DeclarationKeyDocument
import cowslipcart.wire.admin.PublishRequest
import cowslipcart.wire.admin.toDocument
import java.io.File
import kotlinx.serialization.Serializable

/** Result of `plan`. */
@Serializable
internal data class PlanDocument(
    val baseRevision: Long,
    val changes: List<PlannedChangeDocument>,
    val faults: List<String>
)

/** One change of a [PlanDocument]; [change] is `add`, `change` or `delete`. */
@Serializable
internal data class PlannedChangeDocument(val change: String, val key: DeclarationKeyDocument)

/** Result of a change; [offset] of its log record is null if there was nothing to change. */
@Serializable
internal data class ChangeResult(val revision: Long, val offset: Long?, val changeCount: Int)

private fun OperatorCommand.directoryOption() = option(
    "-f",
    "--directory",
    help = "directory with *.yaml files; other directories in it are ignored"
)
    .file(mustExist = true, canBeFile = false).required()

/** Parses the YAML files of [directory], without subdirectories. */
private fun readDeclarations(directory: File): Either<CliError, List<Declaration>> {
    val files = directory.listFiles { file -> file.extension in setOf("yaml", "yml") }.orEmpty()
    if (files.isEmpty()) {
        val fault = "expected at least 1 file *.yaml in $directory, found 0"
        return CliError.WrongInput(listOf(fault)).left()
    }
    val texts = files.sorted().associate { it.path to it.readText() }
    return Declarations.parse(texts)
        .mapLeft { faults -> CliError.WrongInput(faults.map { it.toString() }) }
}

/** `plan -f DIR`. */
internal class PlanCommand :
    OperatorCommand("plan", "Shows what apply would change. Exits with 2 if it would be refused.") {
    private val directory by directoryOption()

    override suspend fun perform(client: AdminClient): Either<CliError, Unit> = either {
        val desired = readDeclarations(directory).bind()
        val plan = planChanges(client.config().bind().toConfiguration(), desired)
        val document = PlanDocument(
            plan.baseRevision.value,
            plan.changes.map {
                PlannedChangeDocument(it.kind.name.lowercase(), it.key.toDocument())
            },
            plan.faults
        )
        report(PlanDocument.serializer(), document) {
            listOf("revision ${plan.baseRevision}, ${plan.changes.size} changes") +
                plan.changes.map { it.toString() }
        }
        if (plan.faults.isNotEmpty()) raise(CliError.WrongInput(plan.faults))
    }
}

/** `apply -f DIR`. */
internal class ApplyCommand :
    ChangeCommand(
        "apply",
        "Publishes the declarations of a directory as one change. What it lacks is deleted."
    ) {
    private val directory by directoryOption()
    private val baseRevision by option(
        "--base-revision",
        help = "revision that plan showed; the change is refused if there is a newer one"
    ).long()

    override suspend fun perform(client: AdminClient): Either<CliError, Unit> = either {
        val desired = readDeclarations(directory).bind()
        val plan = planChanges(client.config().bind().toConfiguration(), desired)
        if (plan.faults.isNotEmpty()) raise(CliError.WrongInput(plan.faults))
        val result = if (plan.changes.isEmpty()) {
            ChangeResult(plan.baseRevision.value, offset = null, changeCount = 0)
        } else {
            publish(client, plan).bind().toResult(plan.changes.size)
        }
        report(ChangeResult.serializer(), result) {
            listOf("revision ${it.revision}, ${it.changeCount} changes")
        }
    }

    private suspend fun publish(client: AdminClient, plan: DeclarationPlan) = client.publish(
        PublishRequest(
            baseRevision ?: plan.baseRevision.value,
            plan.upserts.map { it.toDocument() },
            plan.deletes.map { it.toDocument() },
            author
        )
    )
}

/** Converts the daemon's answer to the result that a command prints. */
internal fun AcceptedResponse.toResult(changeCount: Int) =
    ChangeResult(revision, offset, changeCount)
