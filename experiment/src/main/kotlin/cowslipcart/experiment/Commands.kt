package cowslipcart.experiment

import arrow.core.getOrElse
import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.CliktError
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.arguments.multiple
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.choice
import com.github.ajalt.clikt.parameters.types.file
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import com.github.ajalt.clikt.parameters.types.restrictTo
import cowslipcart.core.model.Tier
import cowslipcart.experiment.compare.buildTable
import cowslipcart.experiment.compare.compareWorkload
import cowslipcart.experiment.compare.decodeComparison
import cowslipcart.experiment.compare.encodeComparison
import cowslipcart.experiment.compare.runInParallel
import cowslipcart.experiment.gateway.GatewayResult
import cowslipcart.experiment.gateway.parseGatewayWorkload
import cowslipcart.experiment.gateway.renderGatewayResult
import cowslipcart.experiment.gateway.runGatewayWorkload
import cowslipcart.experiment.report.renderReport
import cowslipcart.experiment.result.encodeResult
import cowslipcart.experiment.result.renderText
import cowslipcart.experiment.sim.ALL_POLICIES
import cowslipcart.experiment.sim.policyName
import cowslipcart.experiment.workload.Workload
import cowslipcart.experiment.workload.WorkloadError
import cowslipcart.experiment.workload.parseWorkload
import java.io.File
import kotlinx.serialization.json.Json

/** `bin/experiment`: runs one workload under one policy. */
internal class RunCommand : CliktCommand(name = "run") {
    private val workload by option("--workload").file(mustExist = true).required()
    private val policy by option("--policy").choice(ALL_POLICIES.associateBy { it.policyName })
        .required()
    private val seed by option("--seed").long().required()
    private val hosts by option("--hosts", help = "origin hosts, instead of those of the file")
        .int().restrictTo(1..MAX_HOSTS)
    private val onlyTier by option("--only-tier", help = "runs the arrivals of one tier only")
        .int()
    private val output by option("--output").choice("json", "text", "trace").default("json")

    override fun run() {
        val loaded = loadWorkload(workload)
        val resized = hosts?.let { loaded.copy(hosts = it) } ?: loaded
        val tier = onlyTier?.let(::Tier)
        if (output == "trace") {
            traceExperiment(resized, policy, seed, tier).forEach { echo(it) }
            return
        }
        val result = runExperiment(resized, policy, seed, tier)
        echo(if (output == "json") encodeResult(result) else renderText(result))
    }
}

/** `bin/compare`: runs all workloads under all policies and writes the results. */
internal class CompareCommand : CliktCommand(name = "compare") {
    private val workloads by option("--workloads").file(mustExist = true, canBeFile = false)
        .required()
    private val seeds by option("--seeds", help = "runs seeds 1 to this number").int()
        .restrictTo(1..MAX_SEEDS).default(10)
    private val out by option("--out").file(canBeFile = false).required()
    private val only by option("--only", help = "runs only workloads whose name contains this")
        .default("")

    override fun run() {
        val loaded = listFiles(workloads, ".yaml").map(::loadWorkload)
            .filter { only in it.name }
        out.mkdirs()
        val comparisons = runInParallel(loaded.map { { compareWorkload(it, seeds) } })
        for (comparison in comparisons) {
            File(out, "${comparison.workload}.json").writeText(encodeComparison(comparison))
        }
        val table = buildTable(comparisons)
        File(out, "table.md").writeText(table)
        echo(table)
    }
}

/** `bin/report`: renders saved comparisons as an HTML page. */
internal class ReportCommand : CliktCommand(name = "report") {
    private val directory by argument("DIR").file(mustExist = true, canBeFile = false)

    override fun run() {
        val comparisons = listFiles(directory, ".json").map { decodeComparison(it.readText()) }
        val target = File(directory, "report.html")
        target.writeText(renderReport(comparisons))
        echo("wrote ${target.name} for ${comparisons.size} workloads")
    }
}

/** `bin/experiment-gateway`: runs gateway workloads, each with a number of seeds. */
internal class GatewayCommand : CliktCommand(name = "gateway") {
    private val workloads by argument("FILE").file(mustExist = true, canBeDir = false).multiple()
    private val seeds by option("--seeds", help = "runs seeds 1 to this number").int()
        .restrictTo(1..MAX_SEEDS).default(1)
    private val output by option("--output").choice("json", "text").default("text")

    override fun run() {
        for (file in workloads) {
            val workload = parseGatewayWorkload(file.readText()).getOrElse {
                throw CliktError("${file.name}: ${describe(it)}")
            }
            val runs = runInParallel((1L..seeds).map { { runGatewayWorkload(workload, it) } })
            for (result in runs) {
                val text = when (output) {
                    "json" -> Json.encodeToString(GatewayResult.serializer(), result)
                    else -> renderGatewayResult(result).trimEnd()
                }
                echo(text)
            }
        }
    }
}

private fun loadWorkload(file: File): Workload = parseWorkload(file.readText()).getOrElse {
    throw CliktError("${file.name}: ${describe(it)}")
}

private fun describe(error: WorkloadError): String = when (error) {
    is WorkloadError.Malformed -> "line ${error.line}: ${error.detail}"
    is WorkloadError.Invalid -> "${error.field}: expected ${error.expected}, got ${error.actual}"
}

private fun listFiles(directory: File, suffix: String): List<File> =
    directory.listFiles { file -> file.name.endsWith(suffix) }.orEmpty().sortedBy { it.name }

private const val MAX_HOSTS = 100
private const val MAX_SEEDS = 1_000
