package cowslipcart.standins.log

/**
 * Faults that the log service injects into its calls.
 *
 * @property isOutage whether the service refuses every call
 * @property slowMs delay before a call takes effect
 * @property loseAckRate share of appends that take effect but are answered with an error
 * @property staleReadsBehind number of newest records of each stream that reads leave
 * out
 */
public data class LogFaults(
    public val isOutage: Boolean = false,
    public val slowMs: Long = 0,
    public val loseAckRate: Double = 0.0,
    public val staleReadsBehind: Int = 0
)
