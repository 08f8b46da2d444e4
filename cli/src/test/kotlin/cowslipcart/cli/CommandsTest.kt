package cowslipcart.cli

import com.github.ajalt.clikt.command.test
import com.github.ajalt.clikt.testing.CliktCommandTestResult
import cowslipcart.core.config.ConfigEntry
import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.PresetName
import cowslipcart.core.model.Revision
import java.io.File
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonObject
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.io.TempDir

/** Guards against commands that change the wrong thing or exit with 0 after a refusal. */
class CommandsTest {
    private val daemon = StubDaemon()
    private val samples = "../declarations/hamasaki"

    @AfterTest
    fun stop() = daemon.close()

    private fun run(vararg arguments: String, server: String = daemon.url): CliktCommandTestResult =
        runBlocking {
            createCli().test(
                arguments.toList() + listOf("--server", server, "--token", "secret")
            )
        }

    private fun configuration() = daemon.replica.state.configuration

    /** Lets another operator publish between the command's read and its change. */
    private fun publishConcurrently() {
        val entry = ConfigEntry.Publish(configuration().revision, listOf(), listOf(), "joe")
        daemon.beforeChange = { daemon.apply(entry) }
    }

    @Nested
    inner class Apply {
        @TempDir
        lateinit var directory: File

        @Test
        fun `publishes all declarations as one revision`() {
            assertEquals(0, run("apply", "-f", samples).statusCode)
            assertEquals(Revision(1), configuration().revision)
            assertEquals(15, configuration().endpoints.size)
        }

        @Test
        fun `changes nothing when applied a second time`() {
            run("apply", "-f", samples)
            assertEquals("revision 1, 0 changes\n", run("apply", "-f", samples).stdout)
        }

        @Test
        fun `names the winner of a conflict and exits with 1`() {
            publishConcurrently()
            val result = run("apply", "-f", samples)
            assertEquals(1, result.statusCode)
            assertContains(result.stderr, "joe changed the configuration first")
        }

        @Test
        fun `is refused when the planned revision is not the current one`() {
            run("apply", "-f", samples)
            val arguments = arrayOf("apply", "-f", "../declarations/playsafe", "--base-revision")
            assertEquals(1, run(*arguments, "0").statusCode)
            assertEquals(0, run(*arguments, "1").statusCode)
        }

        @Test
        fun `exits with 2 when the files lack the preset in force`() {
            run("apply", "-f", samples)
            run("preset", "switch", "peak")
            directory.resolve("tiers.yaml").writeText("tiers: []")
            assertEquals(2, run("apply", "-f", directory.path).statusCode)
        }

        @Test
        fun `sends the bearer token`() {
            run("apply", "-f", samples)
            assertEquals("Bearer secret", daemon.lastAuthorization)
        }
    }

    @Nested
    inner class Plan {
        @TempDir
        lateinit var directory: File

        @Test
        fun `shows what would change`() {
            run("apply", "-f", samples)
            File(samples).listFiles().orEmpty().forEach { it.copyTo(directory.resolve(it.name)) }
            val file = directory.resolve("organisations.yaml")
            file.writeText(file.readText().replace("weight: 4.0", "weight: 5.0"))
            val result = run("plan", "-f", directory.path)
            assertEquals("revision 1, 1 changes\n~ organisation web-shop\n", result.stdout)
        }

        @Test
        fun `keeps drains, which are not part of the files`() {
            run("apply", "-f", samples)
            run("drain", "assistant-1")
            assertEquals("revision 2, 0 changes\n", run("plan", "-f", samples).stdout)
        }

        @Test
        fun `exits with 2 on a fault in a file`() {
            directory.resolve("a.yaml").writeText("tiers:\n  - rank: none")
            val result = run("plan", "-f", directory.path)
            assertEquals(2, result.statusCode)
            assertContains(result.stderr, "a.yaml:2: tiers[0].rank")
        }

        @Test
        fun `exits with 2 on an empty directory`() =
            assertEquals(2, run("plan", "-f", directory.path).statusCode)
    }

    @Nested
    inner class Presets {
        @Test
        fun `switches the preset`() {
            run("apply", "-f", samples)
            assertEquals(0, run("preset", "switch", "peak").statusCode)
            assertEquals(PresetName("peak"), configuration().presetInForce)
        }

        @Test
        fun `exits with 1 for an undeclared preset`() {
            val result = run("preset", "switch", "night")
            assertEquals(1, result.statusCode)
            assertContains(result.stderr, "none named night")
        }

        @Test
        fun `names the hosts that do not have it yet`() =
            assertContains(run("preset", "status").stdout, "behind: h1")
    }

    @Nested
    inner class Drain {
        @Test
        fun `drains an endpoint and undoes it`() {
            run("apply", "-f", samples)
            run("drain", "assistant-1")
            assertEquals(setOf(EndpointId("assistant-1")), configuration().drainedEndpoints)
            run("drain", "assistant-1", "--undo")
            assertEquals(emptySet(), configuration().drainedEndpoints)
        }

        @Test
        fun `changes nothing when the endpoint is drained already`() {
            run("apply", "-f", samples)
            run("drain", "assistant-1")
            assertEquals(0, run("drain", "assistant-1").statusCode)
            assertEquals(Revision(2), configuration().revision)
        }

        @Test
        fun `exits with 2 for an unknown endpoint`() =
            assertEquals(2, run("drain", "nowhere").statusCode)
    }

    @Nested
    inner class Inspection {
        @Test
        fun `shows a request`() =
            assertEquals("r1: completed\n", run("requests", "show", "r1").stdout)

        @Test
        fun `exits with 1 for an unknown request`() =
            assertEquals(1, run("requests", "show", "r2").statusCode)

        @Test
        fun `lists hosts in columns`() = assertContains(run("hosts").stdout, "h1    127.0.0.1:9002")

        @Test
        fun `reads the log from an offset`() =
            assertContains(run("log", "tail", "--from", "7").stdout, "7       1970-01-01T00:00:00Z")
    }

    @Nested
    inner class Output {
        @Test
        fun `writes JSON`() {
            val json = Json.parseToJsonElement(run("preset", "status", "--output", "json").stdout)
            assertEquals("2", json.jsonObject["hostCount"].toString())
        }

        @Test
        fun `writes errors as JSON on standard error`() {
            val result = run("drain", "nowhere", "--output", "json")
            val json = Json.parseToJsonElement(result.stderr)
            assertEquals("2", json.jsonObject["exitStatus"].toString())
        }
    }

    @Nested
    inner class ExitStatuses {
        @Test
        fun `3 when no daemon answers`() {
            daemon.close()
            assertEquals(3, run("hosts").statusCode)
        }

        @Test
        fun `2 for an unknown option`() =
            assertEquals(2, runBlocking { execute(createCli(), listOf("hosts", "--colour")) })

        @Test
        fun `0 for a completion script`() {
            val result = runBlocking { createCli().test("--generate-completion bash") }
            assertEquals(0, result.statusCode)
            assertContains(result.stdout, "_cowslipcart()")
        }
    }
}
