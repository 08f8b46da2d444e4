package cowslipcart.core.config

import cowslipcart.core.model.Configuration
import cowslipcart.core.model.Declaration
import cowslipcart.core.model.DeclarationKey

/**
 * Result of applying a change to a configuration.
 *
 * @property configuration the changed configuration; may be used only if [faults] is empty
 * @property faults why the change cannot be put in force, one sentence each; empty if it can
 */
public data class ChangeResult(
    public val configuration: Configuration,
    public val faults: List<String>
)

/**
 * Applies the upserts and deletes of [entry] to [current], which makes the next revision, and
 * validates the result. The caller checks the base revision.
 */
public fun applyChanges(current: Configuration, entry: ConfigEntry.Publish): ChangeResult {
    val next = current.withChanges(entry.upserts, entry.deletes)
    val faults = findEntryFaults(current, entry.upserts, entry.deletes)
    return ChangeResult(next, faults + validateChange(current, next, entry.upserts, entry.deletes))
}

private fun findEntryFaults(
    current: Configuration,
    upserts: List<Declaration>,
    deletes: List<DeclarationKey>
): List<String> {
    val upsertKeys = upserts.map { it.key }
    val repeated = (upsertKeys + deletes).groupingBy { it }.eachCount().filterValues { it > 1 }
    val absent = deletes.filter { it !in current.declarations }
    return repeated.map { (key, count) ->
        "${describe(key)}: expected at most 1 change in a publication, found $count"
    } + absent.map { "${describe(it)}: expected a declaration to delete, found none" }
}
