package cowslipcart.core.model

/**
 * Desired state of a model engine, as declared.
 *
 * @property version version of the weights; null keeps the loaded version
 * @property adapters the adapters to be loaded; any other adapter is to be unloaded
 */
public data class EngineState(
    public val model: String,
    public val version: String? = null,
    public val adapters: Set<String> = emptySet(),
    public val role: EngineRole = EngineRole.MIXED
)

/** Which phases of requests an engine runs; only a [MIXED] one runs whole requests. */
public enum class EngineRole { MIXED, PREFILL, DECODE }
