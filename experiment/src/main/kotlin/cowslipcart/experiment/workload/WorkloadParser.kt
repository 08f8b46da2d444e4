package cowslipcart.experiment.workload

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import com.charleskorn.kaml.PolymorphismStyle
import com.charleskorn.kaml.Yaml
import com.charleskorn.kaml.YamlConfiguration
import com.charleskorn.kaml.YamlException
import kotlin.math.abs

private val yaml = Yaml(
    configuration = YamlConfiguration(
        strictMode = true,
        polymorphismStyle = PolymorphismStyle.Property
    )
)

/** Parses and validates the text of a workload file. */
public fun parseWorkload(text: String): Either<WorkloadError, Workload> = try {
    val workload = yaml.decodeFromString(Workload.serializer(), text)
    findInvalid(workload)?.left() ?: workload.right()
} catch (e: YamlException) {
    WorkloadError.Malformed(e.line, e.message).left()
}

private fun findInvalid(workload: Workload): WorkloadError.Invalid? =
    findInvalidScalar(workload) ?: findInvalidShare(workload) ?: findInvalidRange(workload)
        ?: findInvalidFault(workload)

private fun findInvalidScalar(workload: Workload): WorkloadError.Invalid? = sequenceOf(
    LowerBound("durationMs", workload.durationMs.toDouble(), 1.0),
    LowerBound("hosts", workload.hosts.toDouble(), 1.0),
    LowerBound("delays.hostToOwnerMs", workload.delays.hostToOwnerMs.toDouble(), 0.0),
    LowerBound("delays.hostToEngineMs", workload.delays.hostToEngineMs.toDouble(), 0.0),
    LowerBound("reports.intervalMs", workload.reports.intervalMs.toDouble(), 1.0),
    LowerBound("reports.lagMs", workload.reports.lagMs.toDouble(), 0.0),
    LowerBound("engines", workload.engines.size.toDouble(), 1.0),
    LowerBound("load.base", workload.load.base, 0.0),
    LowerBound(
        "prompts.customersPerOrganisation",
        workload.prompts.customersPerOrganisation.toDouble(),
        1.0
    )
).plus(workload.engines.asSequence().flatMap(::engineBounds))
    .firstOrNull { !(it.actual >= it.min) }
    ?.let { WorkloadError.Invalid(it.field, "at least ${it.min}", "${it.actual}") }

private fun engineBounds(group: EngineGroup): List<LowerBound> = listOf(
    LowerBound("engines.${group.generation}.count", group.count.toDouble(), 1.0),
    LowerBound("engines.${group.generation}.slotCount", group.slotCount.toDouble(), 1.0),
    LowerBound("engines.${group.generation}.budgetTokens", group.budgetTokens.toDouble(), 1.0),
    LowerBound("engines.${group.generation}.baseStepUs", group.baseStepUs.toDouble(), 1.0),
    LowerBound("engines.${group.generation}.sequenceStepUs", group.sequenceStepUs.toDouble(), 0.0),
    LowerBound("engines.${group.generation}.prefillTokenUs", group.prefillTokenUs.toDouble(), 1.0),
    LowerBound(
        "engines.${group.generation}.prefillTokensPerStep",
        group.prefillTokensPerStep.toDouble(),
        1.0
    ),
    LowerBound("engines.${group.generation}.cacheTokens", group.cacheTokens.toDouble(), 0.0)
)

private fun findInvalidShare(workload: Workload): WorkloadError.Invalid? {
    val sums = mapOf(
        "tiers.share" to workload.tiers.sumOf { it.share },
        "organisations.share" to workload.organisations.sumOf { it.share }
    )
    sums.entries.firstOrNull { abs(it.value - 1.0) > SHARE_TOLERANCE }?.let {
        return WorkloadError.Invalid(it.key, "shares that add up to 1", "${it.value}")
    }
    val shares = workload.tiers.map { "tiers.${it.name}.longShare" to it.longShare } +
        listOf(
            "reports.cacheLossShare" to workload.reports.cacheLossShare,
            "prompts.assumedReuse" to workload.prompts.assumedReuse,
            "reservedShare" to workload.reservedShare
        )
    return shares.firstOrNull { it.second !in 0.0..1.0 }
        ?.let { WorkloadError.Invalid(it.first, "0.0 to 1.0", "${it.second}") }
}

private fun findInvalidRange(workload: Workload): WorkloadError.Invalid? {
    val ranges = workload.tiers.map { "tiers.${it.name}.outputTokens" to it.outputTokens } +
        listOf(
            "prompts.chatTokens" to workload.prompts.chatTokens,
            "prompts.historyTokens" to workload.prompts.historyTokens,
            "prompts.questionTokens" to workload.prompts.questionTokens
        )
    return ranges.firstOrNull { it.second.min < 1 || it.second.max < it.second.min }
        ?.let { WorkloadError.Invalid(it.first, "1 <= min <= max", "${it.second}") }
}

private fun findInvalidFault(workload: Workload): WorkloadError.Invalid? =
    workload.faults.firstNotNullOfOrNull { fault ->
        when (fault) {
            is Fault.SlowEngine -> invalidSlowEngine(fault, workload)

            is Fault.KillHost -> WorkloadError.Invalid(
                "faults.host",
                "1 to ${workload.hosts}",
                "${fault.host}"
            ).takeIf { fault.host !in 1..workload.hosts }
        }
    }

private fun invalidSlowEngine(fault: Fault.SlowEngine, workload: Workload) = when {
    fault.endpoint !in workload.endpointIds -> WorkloadError.Invalid(
        "faults.endpoint",
        "one of ${workload.endpointIds}",
        "${fault.endpoint}"
    )

    !(fault.factor >= 1.0) ->
        WorkloadError.Invalid("faults.factor", "at least 1.0", "${fault.factor}")

    else -> null
}

private data class LowerBound(val field: String, val actual: Double, val min: Double)

private const val SHARE_TOLERANCE = 1e-6
