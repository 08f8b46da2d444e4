package cowslipcart.experiment.scenario

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import com.charleskorn.kaml.Yaml
import com.charleskorn.kaml.YamlConfiguration
import com.charleskorn.kaml.YamlException
import com.charleskorn.kaml.YamlMap
import com.charleskorn.kaml.YamlNode
import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.Serializable
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.builtins.serializer

/** A scenario: a small deployment and what happens to it. */
internal class Scenario(val about: String, val setup: WorldSetup, val steps: List<ScenarioLine>)

/** A step with its place; [line] counts from 1. */
internal class ScenarioLine(val line: Int, val name: String, val step: Step)

/** Why a file is not a valid scenario; [line] counts from 1. */
internal data class ScenarioError(val file: String, val line: Int, val detail: String) {
    override fun toString(): String = "$file:$line: $detail"
}

/** Reads the [text] of [file]. */
internal fun parseScenario(file: String, text: String): Either<ScenarioError, Scenario> = try {
    val document = yaml.decodeFromString(Document.serializer(), text)
    val steps = document.steps.map { parseStep(it) }
    Scenario(document.about, document.setup, steps).right()
} catch (e: YamlException) {
    ScenarioError(file, e.line, e.message).left()
} catch (e: StepException) {
    ScenarioError(file, e.line, e.detail).left()
}

@Serializable
private class Document(
    val about: String,
    val hosts: Int = 3,
    val runners: Int = 3,
    val services: Int = 2,
    val slots: Int = 4,
    val listLagMs: Long = 1_000,
    val seed: Long = 1,
    val shards: Int = 1,
    val maxQueued: Int = 200,
    val steps: List<YamlNode>
) {
    val setup: WorldSetup
        get() = WorldSetup(
            hosts,
            runners,
            services,
            slots,
            listLagMs,
            seed,
            shards,
            maxQueued
        )
}

private class StepException(val line: Int, val detail: String) : Exception(detail)

private val yaml = Yaml(configuration = YamlConfiguration(strictMode = true))

private fun parseStep(node: YamlNode): ScenarioLine {
    val line = node.location.line
    val entry = (node as? YamlMap)?.entries?.entries?.singleOrNull()
        ?: throw StepException(line, "expected one step, found ${node.contentToString()}")
    val name = entry.key.content
    val parse = STEPS[name] ?: throw StepException(
        line,
        "expected one of the steps ${STEPS.keys.sorted().joinToString()}, found $name"
    )
    return ScenarioLine(line, name, parse(entry.value))
}

private val STEPS: Map<String, (YamlNode) -> Step> = mapOf(
    "send" to reader(Step.Send.serializer()) { it },
    "resend" to reader(Step.Resend.serializer()) { it },
    "ask" to reader(Step.Ask.serializer()) { it },
    "pause" to reader(Step.Pause.serializer()) { it },
    "wake" to reader(String.serializer()) { Step.Wake(it) },
    "kill" to reader(String.serializer()) { Step.Kill(it) },
    "restart" to reader(String.serializer()) { Step.Restart(it) },
    "cut" to reader(ListSerializer(String.serializer())) { Step.Cut(it) },
    "heal" to reader(HealTarget.serializer()) { Step.Heal(it) },
    "outage" to reader(Step.Outage.serializer()) { it },
    "slow" to reader(Step.Slow.serializer()) { it },
    "lose-ack" to reader(Int.serializer()) { Step.LoseAck(it) },
    "trim" to reader(String.serializer()) { Step.Trim },
    "publish" to reader(Step.Publish.serializer()) { it },
    "switch" to reader(Step.Switch.serializer()) { it },
    "drain" to reader(Step.Drain.serializer()) { it },
    "crash-endpoint" to reader(String.serializer()) { Step.CrashEndpoint(it) },
    "recover-endpoint" to reader(String.serializer()) { Step.RecoverEndpoint(it) },
    "leave-endpoint" to reader(String.serializer()) { Step.LeaveEndpoint(it) },
    "break-stream" to reader(String.serializer()) { Step.BreakStream(it) },
    "advance" to reader(Long.serializer()) { Step.Advance(it) },
    "expect" to reader(Step.Expect.serializer()) { it }
)

private fun <T> reader(
    serializer: DeserializationStrategy<T>,
    toStep: (T) -> Step
): (YamlNode) -> Step = { toStep(yaml.decodeFromYamlNode(serializer, it)) }
