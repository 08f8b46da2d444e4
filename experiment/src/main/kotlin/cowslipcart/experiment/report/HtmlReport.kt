package cowslipcart.experiment.report

import cowslipcart.experiment.compare.Comparison
import cowslipcart.experiment.compare.checkTargets
import cowslipcart.experiment.result.ExperimentResult
import cowslipcart.experiment.sim.ALL_POLICIES
import java.util.Locale

/** Renders [comparisons] as one HTML page with inline SVG charts. */
public fun renderReport(comparisons: List<Comparison>): String = buildString {
    appendLine("<!DOCTYPE html>")
    appendLine("<html lang=\"en\"><head><meta charset=\"utf-8\"><title>Comparison</title>")
    appendLine("<style>body{font-family:sans-serif;margin:2em}svg{margin-right:1em}</style>")
    appendLine("</head><body><h1>Comparison of policies</h1>")
    appendLine("<p>Bars are medians over the seeds.</p>")
    comparisons.forEach { append(renderComparison(it)) }
    appendLine("</body></html>")
}

private fun renderComparison(comparison: Comparison): String = buildString {
    val tier = comparison.topTier
    appendLine("<h2>${escape(comparison.workload)}</h2>")
    append(renderChart("total goodput, 1/s", comparison) { it.totalGoodputPerS })
    append(
        renderChart("goodput of ${escape(tier)}, 1/s", comparison) {
            it.tiers.getValue(tier).goodputPerS
        }
    )
    append(
        renderChart("p99 first token of ${escape(tier)}, ms", comparison) {
            it.tiers.getValue(tier).ttftMs.p99.toDouble()
        }
    )
    append(
        renderChart("wasted prefill, tokens", comparison) {
            it.prefill.wastedTokens.toDouble()
        }
    )
    appendLine("<ul>")
    for (result in checkTargets(comparison)) {
        val verdict = if (result.isHit) "hit" else "miss"
        appendLine(
            "<li>${escape(result.target)} ${format(result.bound)}: " +
                "${format(result.actual)} ($verdict)</li>"
        )
    }
    appendLine("</ul>")
}

private fun renderChart(
    title: String,
    comparison: Comparison,
    value: (ExperimentResult) -> Double
): String = buildString {
    val values = ALL_POLICIES.map { comparison.median(it, value) }
    val highest = values.max().takeIf { it > 0 } ?: 1.0
    val height = TITLE_HEIGHT + ROW_HEIGHT * values.size
    appendLine("<svg width=\"$CHART_WIDTH\" height=\"$height\" role=\"img\">")
    appendLine("<text x=\"0\" y=\"14\" font-size=\"13\" font-weight=\"bold\">$title</text>")
    for ((index, policy) in comparison.runs.keys.withIndex()) {
        val top = TITLE_HEIGHT + ROW_HEIGHT * index
        val width = (values[index] / highest * BAR_WIDTH).toInt()
        val fill = if (index == values.lastIndex) "#2a7f62" else "#9aa5b1"
        appendLine("<text x=\"0\" y=\"${top + 13}\" font-size=\"11\">${escape(policy)}</text>")
        appendLine(
            "<rect x=\"$BAR_LEFT\" y=\"$top\" width=\"$width\" height=\"16\" fill=\"$fill\"/>"
        )
        appendLine(
            "<text x=\"${BAR_LEFT + width + 4}\" y=\"${top + 13}\" font-size=\"11\">" +
                "${format(values[index])}</text>"
        )
    }
    appendLine("</svg>")
}

private fun format(value: Double): String = String.format(Locale.ROOT, "%.1f", value)

private fun escape(text: String): String =
    text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;").replace("\"", "&quot;")

private const val CHART_WIDTH = 430
private const val TITLE_HEIGHT = 22
private const val ROW_HEIGHT = 20
private const val BAR_LEFT = 130
private const val BAR_WIDTH = 220
