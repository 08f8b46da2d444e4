package cowslipcart.core.orders

import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.EngineRole
import cowslipcart.core.model.EngineState
import cowslipcart.core.model.LogOffset
import cowslipcart.core.model.Revision

/** Random number that identifies an order, so that a result is matched to its order. */
@JvmInline
public value class OrderId(public val value: Long) {
    override fun toString(): String = value.toULong().toString(16)
}

/**
 * Fencing token of an order: engines that check it refuse an order with a lower one. Compared by
 * the configuration revision, then by the offset of the owner's record on the stream `owners`.
 */
public data class FencingNumber(public val revision: Revision, public val ownerOffset: LogOffset) {
    override fun toString(): String = "$revision/$ownerOffset"
}

/**
 * State that an engine reported.
 *
 * @property model loaded model; null if none is loaded
 * @property version loaded version of the weights; null if none is loaded
 * @property role null if this version does not know the reported role
 */
public data class DeployedState(
    public val model: String?,
    public val version: String?,
    public val adapters: Set<String>,
    public val role: EngineRole?
)

/**
 * An order to an engine to take its whole desired state. It is sent as [steps], one after another.
 * Orders are idempotent: repeating one leads to the same state.
 */
public data class EndpointOrder(
    public val id: OrderId,
    public val endpoint: EndpointId,
    public val fencing: FencingNumber,
    public val desired: EngineState,
    public val steps: List<OrderStep>
)

/** One call to the control interface of an engine. */
public sealed interface OrderStep {
    /** Loads the weights of a model and unloads all adapters. */
    public data class LoadModel(public val model: String) : OrderStep

    /** Replaces the loaded weights by another version. */
    public data class LoadVersion(public val version: String) : OrderStep

    /** Loads an adapter of the loaded model. */
    public data class LoadAdapter(public val adapter: String) : OrderStep

    /** Changes the role of the engine. */
    public data class SetRole(public val role: EngineRole) : OrderStep
}

/**
 * Returns the steps that bring an engine from [deployed] to this state; empty if it is in this
 * state. Loading the model is always followed by loading everything that it unloads. So if the
 * steps of two equal orders interleave on an engine that checks no fencing, the last order still
 * completes the state.
 */
public fun EngineState.stepsFrom(deployed: DeployedState): List<OrderStep> = buildList {
    // Engines cannot unload a single adapter; loading the model unloads all of them.
    val mustReload = deployed.model != model || !adapters.containsAll(deployed.adapters)
    if (mustReload) add(OrderStep.LoadModel(model))
    val desiredVersion = version
    if (desiredVersion != null && (mustReload || deployed.version != desiredVersion)) {
        add(OrderStep.LoadVersion(desiredVersion))
    }
    val missingAdapters = if (mustReload) adapters else adapters - deployed.adapters
    missingAdapters.sorted().forEach { add(OrderStep.LoadAdapter(it)) }
    if (deployed.role != role) add(OrderStep.SetRole(role))
}

/** Result of sending an order. */
public sealed interface OrderResult {
    /** The engine accepted all steps; it reports the new state when they have taken effect. */
    public data object Accepted : OrderResult

    /** The engine refused a step, or its answer was lost and the step may have taken effect. */
    public data class Failed(public val detail: String) : OrderResult
}
