package cowslipcart.core.config

import cowslipcart.core.model.Configuration
import cowslipcart.core.model.Declaration
import cowslipcart.core.model.DeclarationKey

/**
 * Result of a change.
 *
 * @property configuration the configuration with the change; meaningful only without [faults]
 * @property faults why the change cannot be put in force; empty if it can
 */
public data class Change(public val configuration: Configuration, public val faults: List<String>)

/**
 * Returns [current] with the upserts and deletes of [entry] and the next revision, and the faults
 * of the change. The base revision is not compared.
 */
public fun applyChanges(current: Configuration, entry: ConfigEntry.Publish): Change {
    val next = current.change(entry.upserts, entry.deletes)
    val faults = findEntryFaults(current, entry.upserts, entry.deletes)
    return Change(next, faults + validateChange(current, next, entry.upserts, entry.deletes))
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
