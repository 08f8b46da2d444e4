package cowslipcart.cli

import cowslipcart.core.config.ConfigEntry
import cowslipcart.core.config.applyChanges
import cowslipcart.core.config.describe
import cowslipcart.core.model.Configuration
import cowslipcart.core.model.Declaration
import cowslipcart.core.model.DeclarationKey
import cowslipcart.core.model.DrainSpec
import cowslipcart.core.model.PresetName
import cowslipcart.core.model.Revision
import cowslipcart.wire.admin.ConfigDocument

/** How a plan changes one declaration; [sign] marks it in the text output. */
internal enum class ChangeKind(val sign: String) { ADD("+"), CHANGE("~"), DELETE("-") }

/** Change of one declaration in a plan. */
internal data class PlannedChange(val kind: ChangeKind, val key: DeclarationKey) {
    override fun toString(): String = "${kind.sign} ${describe(key)}"
}

/**
 * Changes that turn a configuration into the declarations of a directory.
 *
 * @property faults why the daemon would refuse the change; empty if it would not
 */
internal data class DeclarationPlan(
    val baseRevision: Revision,
    val upserts: List<Declaration>,
    val deletes: List<DeclarationKey>,
    val changes: List<PlannedChange>,
    val faults: List<String>
)

/**
 * Plans the changes from [current] to [desired]. Drains are temporary and not part of the files, so
 * a drain is deleted only together with its endpoint.
 */
internal fun planChanges(current: Configuration, desired: List<Declaration>): DeclarationPlan {
    val desiredByKey = desired.associateBy { it.key }
    val upserts = desired.filter { current.declarations[it.key] != it }
    val deletes = current.declarations.values.filter { declaration ->
        when (declaration) {
            is DrainSpec -> DeclarationKey.Endpoint(declaration.endpoint) !in desiredByKey
            else -> declaration.key !in desiredByKey
        }
    }.map { it.key }
    val changes = upserts.map {
        val kind = if (it.key in current.declarations) ChangeKind.CHANGE else ChangeKind.ADD
        PlannedChange(kind, it.key)
    } + deletes.map { PlannedChange(ChangeKind.DELETE, it) }
    val entry = ConfigEntry.Publish(current.revision, upserts, deletes, author = "")
    val faults = applyChanges(current, entry).faults
    return DeclarationPlan(current.revision, upserts, deletes, changes, faults)
}

/** Converts the daemon's document to the core type. */
internal fun ConfigDocument.toConfiguration() = Configuration(
    Revision(revision),
    declarations.map { it.toDeclaration() }.associateBy { it.key },
    preset?.let { PresetName(it) }
)
