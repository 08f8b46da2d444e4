package cowslipcart.core.model

/**
 * Declared state of a model engine.
 *
 * @property version version of the weights; null leaves the loaded one
 * @property adapters exactly these are to be loaded
 */
public data class EngineState(
    public val model: String,
    public val version: String? = null,
    public val adapters: Set<String> = emptySet(),
    public val role: EngineRole = EngineRole.MIXED
)

/** Use of an engine; only a [MIXED] one runs whole requests. */
public enum class EngineRole { MIXED, PREFILL, DECODE }
