package cowslipcart.experiment.slopes

/** Entry point of `bin/slopes`: measures what docs/CAPACITY.md extrapolates. */
public fun main() {
    println("java ${System.getProperty("java.version")}, processor time of one thread")
    measureRequests().forEach { println(it.describe()) }
    measureIdle().forEach { println(it.describe()) }
    measureConfiguration().forEach { println(it.describe()) }
    measureClaims().forEach { println(it.describe()) }
    println(measureDecisions().describe())
}
