package cowslipcart.experiment.scenario

import arrow.core.getOrElse
import java.io.File
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.test.fail
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory

/** Runs each file of the folder `scenarios`; guards against faults that break a guarantee. */
class ScenarioFilesTest {
    @TestFactory
    fun `each scenario passes`(): List<DynamicTest> {
        val files = scenarioFiles()
        assertTrue(files.size >= MIN_COUNT, "expected $MIN_COUNT scenarios, found ${files.size}")
        return files.map { file ->
            DynamicTest.dynamicTest(file.name) {
                assertEquals("pass", describe(file.name, runScenario(load(file.name))))
            }
        }
    }

    companion object {
        private const val MIN_COUNT = 20
        private val FOLDER = File("../scenarios")

        private fun scenarioFiles(): List<File> =
            FOLDER.listFiles { file -> file.extension == "yaml" }.orEmpty().sorted()

        internal fun load(name: String): Scenario {
            val file = File(FOLDER, name)
            return parseScenario(file.path, file.readText()).getOrElse { fail(it.toString()) }
        }

        /** `pass`, or the place and reason of the failure with its trace. */
        internal fun describe(name: String, result: ScenarioResult): String = when (result) {
            ScenarioResult.Passed -> "pass"

            is ScenarioResult.Failed ->
                result.trace.joinToString("\n", postfix = "\n") +
                    "$name:${result.line}: ${result.detail}"
        }
    }
}
