package cowslipcart.core.orders

import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.EngineRole
import cowslipcart.core.model.EngineState
import cowslipcart.core.model.LogOffset
import cowslipcart.core.model.Revision

/** Random number that ties a result to its order. */
@JvmInline
public value class OrderId(public val value: Long) {
    override fun toString(): String = value.toULong().toString(16)
}

/**
 * Number that engines compare: first the configuration revision, then the offset of the owner's
 * record on the stream `owners`.
 */
public data class FencingNumber(public val revision: Revision, public val ownerOffset: LogOffset) {
    override fun toString(): String = "$revision/$ownerOffset"
}

/** State that an engine reported; null stands for none, or for a role that is not known. */
public data class DeployedState(
    public val model: String?,
    public val version: String?,
    public val adapters: Set<String>,
    public val role: EngineRole?
)

/**
 * An order that names the whole desired state. An engine takes it as [steps] in their order.
 * Repeating an order leads to the same state.
 */
public data class EndpointOrder(
    public val id: OrderId,
    public val endpoint: EndpointId,
    public val fencing: FencingNumber,
    public val desired: EngineState,
    public val steps: List<OrderStep>
)

/** One call of the engine's order interface. */
public sealed interface OrderStep {
    /** Loads the weights of a model and drops all adapters. */
    public data class LoadModel(public val model: String) : OrderStep

    /** Replaces the loaded weights by another version. */
    public data class LoadVersion(public val version: String) : OrderStep

    /** Loads an adapter of the loaded model. */
    public data class LoadAdapter(public val adapter: String) : OrderStep

    /** Changes what the engine is used for. */
    public data class SetRole(public val role: EngineRole) : OrderStep
}

/**
 * Returns the steps from [deployed] to this state; none if the engine is there. A load of the model
 * is always followed by all that it drops. So the last of two equal orders whose steps mix on an
 * engine that checks no fencing completes the state again.
 */
public fun EngineState.stepsFrom(deployed: DeployedState): List<OrderStep> = buildList {
    // Engines have no order to unload an adapter; loading the model drops it.
    val mustReload = deployed.model != model || !adapters.containsAll(deployed.adapters)
    if (mustReload) add(OrderStep.LoadModel(model))
    val wantedVersion = version
    if (wantedVersion != null && (mustReload || deployed.version != wantedVersion)) {
        add(OrderStep.LoadVersion(wantedVersion))
    }
    val missing = if (mustReload) adapters else adapters - deployed.adapters
    missing.sorted().forEach { add(OrderStep.LoadAdapter(it)) }
    if (deployed.role != role) add(OrderStep.SetRole(role))
}

/** What became of sending an order. */
public sealed interface OrderResult {
    /** The engine accepted all steps; it reports the state when they are in force. */
    public data object Accepted : OrderResult

    /** The engine refused a step, or its answer was lost and the step may be in force. */
    public data class Failed(public val detail: String) : OrderResult
}
