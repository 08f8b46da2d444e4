package cowslipcart.core.forwarding

/**
 * What an endpoint states of its load in an answer.
 *
 * @property running requests that it runs
 * @property waiting requests that wait for one of its slots
 * @property slots requests that it runs at most
 * @property slowness how many times longer than usual work takes on its machine at this moment;
 * null if it does not state it
 */
public data class StatedLoad(
    public val running: Int,
    public val waiting: Int,
    public val slots: Int,
    public val slowness: Double? = null
) {
    /** Whether an endpoint can have this load. */
    public val isInRange: Boolean
        get() = running in COUNTS && waiting in COUNTS && slots in COUNTS && slots > 0 &&
            (slowness == null || slowness in SLOWNESSES)

    private companion object {
        /** Far above the batch and the queue of any endpoint. */
        val COUNTS = 0..65_536

        /** Work that takes a hundred times as long is rather an endpoint that hangs. */
        val SLOWNESSES = 0.01..100.0
    }
}
