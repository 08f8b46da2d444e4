package cowslipcart.standins.http

import cowslipcart.core.model.LogOffset
import cowslipcart.core.model.Revision
import cowslipcart.standins.engine.CacheEventPage
import cowslipcart.standins.engine.CancelledStream
import cowslipcart.standins.engine.EngineDeployment
import cowslipcart.standins.engine.EngineJournalEntry
import cowslipcart.standins.engine.EngineLoad
import cowslipcart.standins.engine.EngineOrder
import cowslipcart.standins.engine.EngineRole
import cowslipcart.standins.engine.FencingNumber
import io.ktor.http.HttpStatusCode
import io.ktor.server.routing.RoutingCall
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

@Serializable
internal data class LoadJson(
    @SerialName("age_ms") val ageMs: Long,
    val running: Int,
    @SerialName("waiting_tokens") val waitingTokens: Long,
    val leaving: Boolean
)

/** A cache event; [block] is the hash in 16 hex digits, as JSON numbers cannot hold it exactly. */
@Serializable
internal data class CacheEventJson(val index: Long, val block: String, val stored: Boolean)

@Serializable
internal data class CacheEventPageJson(
    val events: List<CacheEventJson>,
    @SerialName("next_index") val nextIndex: Long
)

@Serializable
internal data class JournalJson(
    val id: String,
    @SerialName("started_at_ms") val startedAtMs: Long,
    @SerialName("ended_at_ms") val endedAtMs: Long? = null,
    val outcome: String,
    @SerialName("cancel_count") val cancelCount: Int = 0
)

@Serializable
private data class FencingJson(
    val revision: Long,
    @SerialName("owner_offset") val ownerOffset: Long
)

@Serializable
private enum class OrderType {
    @SerialName("load_model")
    LOAD_MODEL,

    @SerialName("load_adapter")
    LOAD_ADAPTER,

    @SerialName("load_version")
    LOAD_VERSION,

    @SerialName("set_role")
    SET_ROLE
}

@Serializable
private data class OrderJson(val type: OrderType, val value: String, val fencing: FencingJson)

@Serializable
internal data class DeploymentJson(
    val model: String?,
    val adapters: Set<String>,
    val version: String?,
    val role: String,
    val fencing: String?
)

/** Body of `POST /control`; an absent field leaves its setting unchanged. */
@Serializable
private data class EngineControlJson(
    @SerialName("slow_factor") val slowFactor: Double? = null,
    val leaving: Boolean? = null,
    val crash: Boolean = false
)

internal suspend fun RoutingCall.handleOrder(runtime: EngineRuntime) {
    val body = receiveJson<OrderJson>() ?: return
    val order = body.toOrder() ?: return respondError(
        HttpStatusCode.BadRequest,
        "value: expected one of ${EngineRole.entries.map {
            it.name.lowercase()
        }}, got ${body.value}"
    )
    val fencing = FencingNumber(
        Revision(body.fencing.revision),
        LogOffset(body.fencing.ownerOffset)
    )
    runtime.withModel { model, nowMs -> model.order(order, fencing, nowMs) }.fold(
        { respondEngineError(it) },
        { respondJson(body, HttpStatusCode.Accepted) }
    )
}

internal suspend fun RoutingCall.handleControl(runtime: EngineRuntime) {
    val change = receiveJson<EngineControlJson>() ?: return
    if (change.slowFactor != null && change.slowFactor <= 0.0) {
        return respondError(
            HttpStatusCode.BadRequest,
            "slow_factor: expected more than 0, got ${change.slowFactor}"
        )
    }
    runtime.withModel { model, nowMs ->
        change.slowFactor?.let { model.setSlowFactor(it, nowMs) }
        change.leaving?.let { model.setLeaving(it) }
    }
    if (change.crash) runtime.crash()
    respondJson(change)
}

/** Returns null if the role is unknown. */
private fun OrderJson.toOrder(): EngineOrder? = when (type) {
    OrderType.LOAD_MODEL -> EngineOrder.LoadModel(value)

    OrderType.LOAD_ADAPTER -> EngineOrder.LoadAdapter(value)

    OrderType.LOAD_VERSION -> EngineOrder.LoadVersion(value)

    OrderType.SET_ROLE ->
        EngineRole.entries
            .firstOrNull { it.name.lowercase() == value }
            ?.let { EngineOrder.SetRole(it) }
}

internal fun EngineLoad.toJson() = LoadJson(ageMs, runningCount, waitingTokens, isLeaving)

internal fun CacheEventPage.toJson() = CacheEventPageJson(
    events.map {
        val block = it.block.value.toULong().toString(16).padStart(16, '0')
        CacheEventJson(it.index, block, it.isStored)
    },
    nextIndex
)

internal fun CancelledStream.toJson() = UsageJson(prefillTokens, cachedTokens, outputTokens)

internal fun EngineDeployment.toJson() =
    DeploymentJson(model, adapters, version, role.name.lowercase(), fencing?.toString())

internal fun EngineJournalEntry.toJson() =
    JournalJson(id.value, startedAtMs, endedAtMs, outcome.name.lowercase(), cancelCount)
