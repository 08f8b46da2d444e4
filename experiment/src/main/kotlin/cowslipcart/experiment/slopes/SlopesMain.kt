package cowslipcart.experiment.slopes

private val MEASUREMENTS: Map<String, () -> List<String>> = linkedMapOf(
    "requests" to { describe(measureRequests()) },
    "frames" to ::measureFrameSizes,
    "idle" to { describe(measureIdle()) },
    "configuration" to { describe(measureConfiguration()) },
    "changes" to { describe(measureChanges()) },
    "claims" to { describe(measureClaims()) },
    "decisions" to { listOf(measureDecisions().describe()) }
)

private fun describe(slopes: List<Slope>) = slopes.map { it.describe() }

/**
 * Entry point of `bin/slopes`: measures the costs that docs/CAPACITY.md extrapolates. The arguments
 * name the measurements to run; without any, all are run.
 */
public fun main(args: Array<String>) {
    println("java ${System.getProperty("java.version")}, processor time of one thread")
    val names = args.toList().ifEmpty { MEASUREMENTS.keys.toList() }
    for (name in names) {
        val measure = checkNotNull(MEASUREMENTS[name]) {
            "expected one of ${MEASUREMENTS.keys}, found $name"
        }
        measure().forEach { println(it) }
    }
}
