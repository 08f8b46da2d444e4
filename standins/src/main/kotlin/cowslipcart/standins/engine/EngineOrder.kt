package cowslipcart.standins.engine

import cowslipcart.core.model.LogOffset
import cowslipcart.core.model.Revision

/** An order that changes what an engine serves. */
public sealed interface EngineOrder {
    /** Loads the weights of a model. */
    public data class LoadModel(public val model: String) : EngineOrder

    /** Loads an adapter of a loaded model. */
    public data class LoadAdapter(public val adapter: String) : EngineOrder

    /** Replaces the loaded weights by another version. */
    public data class LoadVersion(public val version: String) : EngineOrder

    /** Changes what the engine is used for. */
    public data class SetRole(public val role: EngineRole) : EngineOrder
}

/** Phases of a request that an engine runs. [EngineModel] records it; speed is unaffected. */
public enum class EngineRole { MIXED, PREFILL, DECODE }

/** Number that orders the issuers of orders: first by revision, then by the owner's log offset. */
public data class FencingNumber(public val revision: Revision, public val ownerOffset: LogOffset) :
    Comparable<FencingNumber> {
    override fun compareTo(other: FencingNumber): Int =
        compareValuesBy(this, other, { it.revision }, { it.ownerOffset })

    override fun toString(): String = "$revision/$ownerOffset"
}

/**
 * Model, adapters, version and role that the applied orders have set on an engine.
 *
 * @property fencing highest fencing number of an accepted order; null before the first order
 */
public data class EngineDeployment(
    public val model: String? = null,
    public val adapters: Set<String> = emptySet(),
    public val version: String? = null,
    public val role: EngineRole = EngineRole.MIXED,
    public val fencing: FencingNumber? = null
) {
    /** Returns the deployment after [order]. */
    public fun apply(order: EngineOrder): EngineDeployment = when (order) {
        is EngineOrder.LoadModel -> copy(model = order.model, adapters = emptySet())
        is EngineOrder.LoadAdapter -> copy(adapters = adapters + order.adapter)
        is EngineOrder.LoadVersion -> copy(version = order.version)
        is EngineOrder.SetRole -> copy(role = order.role)
    }
}
