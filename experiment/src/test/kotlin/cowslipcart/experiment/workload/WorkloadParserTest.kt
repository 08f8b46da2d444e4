package cowslipcart.experiment.workload

import arrow.core.getOrElse
import java.io.File
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import org.junit.jupiter.api.Nested

class WorkloadParserTest {
    private val text = workloadFile("playsafe-slow-runner").readText()

    /** Guards against shipped files that no longer match the format. */
    @Nested
    inner class ShippedFiles {
        @Test
        fun `all are valid and named like their file`() {
            val files = workloadFile("playsafe-ordinary").parentFile.listFiles().orEmpty()

            assertTrue(files.size >= 14, "expected at least 14 files, got ${files.size}")
            for (file in files) {
                val workload = parseWorkload(file.readText()).getOrElse { error("$file: $it") }
                assertEquals(file.nameWithoutExtension, workload.name)
            }
        }

        @Test
        fun `reads the faults`() {
            val workload = parseWorkload(text).getOrElse { error("$it") }

            assertIs<Fault.SlowEngine>(workload.faults.single())
        }
    }

    /** Guards against typing errors in a file that would silently change an experiment. */
    @Nested
    inner class Errors {
        @Test
        fun `rejects an unknown field and names its line`() {
            val error = assertIs<WorkloadError.Malformed>(parse("hosts: 16", "hostCount: 16"))

            assertEquals(4, error.line)
        }

        @Test
        fun `rejects an unknown type of fault`() {
            assertIs<WorkloadError.Malformed>(parse("type: slow-engine", "type: slow-motor"))
        }

        @Test
        fun `rejects text where a number is expected`() {
            assertIs<WorkloadError.Malformed>(parse("durationMs: 80000", "durationMs: long"))
        }

        @Test
        fun `rejects shares that do not add up`() = assertInvalid("tiers.share", "0.2", "0.3")

        @Test
        fun `rejects no hosts`() = assertInvalid("hosts", "hosts: 16", "hosts: 0")

        @Test
        fun `rejects an empty range`() = assertInvalid(
            "prompts.chatTokens",
            "chatTokens: {min: 50, max: 500}",
            "chatTokens: {min: 50, max: 5}"
        )

        @Test
        fun `rejects a fault of an unknown engine`() =
            assertInvalid("faults.endpoint", "endpoint: g3-1", "endpoint: g3-9")

        private fun assertInvalid(field: String, old: String, new: String) =
            assertEquals(field, assertIs<WorkloadError.Invalid>(parse(old, new)).field)

        private fun parse(old: String, new: String): WorkloadError? {
            assertTrue(old in text, "expected $old in the file")
            return parseWorkload(text.replaceFirst(old, new)).leftOrNull()
        }
    }

    private fun workloadFile(name: String) = File("../workloads/$name.yaml")
}
