package cowslipcart.experiment.slopes

/**
 * Least-squares line through measured points: `value = baseValue + size * perUnit`.
 *
 * @property unit unit of the values, for example `us` or `bytes`
 */
internal class Slope(
    val name: String,
    val sizeName: String,
    val unit: String,
    private val points: List<Point>
) {
    /** A measured value at one size. */
    class Point(val size: Double, val value: Double)

    /** Value that each unit of size adds. */
    val perUnit: Double

    /** Value at size 0. */
    val baseValue: Double

    init {
        val meanSize = points.map { it.size }.average()
        val meanValue = points.map { it.value }.average()
        val variance = points.sumOf { (it.size - meanSize) * (it.size - meanSize) }
        val covariance = points.sumOf { (it.size - meanSize) * (it.value - meanValue) }
        perUnit = if (variance == 0.0) 0.0 else covariance / variance
        baseValue = meanValue - perUnit * meanSize
    }

    /** Value of the line at [size]. */
    fun at(size: Double): Double = baseValue + size * perUnit

    /** Text with one line for each point and one for the slope. */
    fun describe(): String = buildString {
        appendLine("$name ($unit by $sizeName)")
        points.forEach { appendLine("  at %,.0f: %,.3f".format(it.size, it.value)) }
        append(
            "  slope: %,.6f %s for each of %s, base %,.3f".format(
                perUnit,
                unit,
                sizeName,
                baseValue
            )
        )
    }
}
