package cowslipcart.experiment.result

import kotlinx.serialization.json.Json

private val json = Json { prettyPrint = true }

/** Encodes [result] as JSON; equal results give equal bytes. */
public fun encodeResult(result: ExperimentResult): String =
    json.encodeToString(ExperimentResult.serializer(), result)

/** Renders [result] as plain text. */
public fun renderText(result: ExperimentResult): String = buildString {
    appendLine("${result.workload}, ${result.policy}, seed ${result.seed}")
    appendLine("capacity ${result.capacityPerS}/s, duration ${result.durationMs} ms")
    for ((name, tier) in result.tiers) {
        appendLine(
            "$name: offered ${tier.offered}, in time ${tier.answeredInTime} " +
                "(${tier.goodputPerS}/s), shed ${tier.shed}, refused ${tier.refusedByReason}, " +
                "gave way ${tier.gaveWay}"
        )
        appendLine("  first token ms ${tier.ttftMs}, token gap ms ${tier.tokenGapMs}")
    }
    appendLine("prefill tokens ${result.prefill}")
    appendLine("decisions ${result.decisions}, control bytes ${result.controlBytes}")
    append(
        "shed rule breaches ${result.shedRuleBreaches}, " +
            "dispatch breaches ${result.dispatchBreaches}"
    )
}
