package cowslipcart.standins.log

/**
 * Faults that a test has set on the log service.
 *
 * @property isOutage whether every call is refused
 * @property slowMs delay before a call takes effect
 * @property loseAckRate share of appends that take effect but are answered with an error
 * @property staleReadsBehind newest records of each stream that reads do not show
 */
public data class LogFaults(
    public val isOutage: Boolean = false,
    public val slowMs: Long = 0,
    public val loseAckRate: Double = 0.0,
    public val staleReadsBehind: Int = 0
)
