package cowslipcart.standins.load

import cowslipcart.core.model.Tier
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.encodeToJsonElement
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.put

/**
 * Result of a run.
 *
 * @property all figures of the first transmission of each request
 * @property tiers the same by tier
 * @property resends figures of the second transmissions, which [all] and [tiers] leave out
 */
internal class LoadReport(
    val seed: Long,
    val durationS: Double,
    val all: LoadFigures,
    val tiers: Map<Tier, LoadFigures>,
    val resends: LoadFigures
) {
    /** Returns one object with the fields of [all] at its top level. */
    fun toJson(): JsonObject = buildJsonObject {
        put("seed", seed)
        put("duration_s", durationS)
        encode(all).forEach { (name, value) -> put(name, value) }
        put("tiers", JsonObject(tiers.entries.associate { "${it.key}" to encode(it.value) }))
        put("resends", encode(resends))
    }

    private fun encode(figures: LoadFigures) = Json.encodeToJsonElement(figures).jsonObject
}
