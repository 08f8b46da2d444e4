package cowslipcart.systemtest

import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.writeText
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.BeforeAll
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestInstance
import org.junit.jupiter.api.io.TempDir

/** Guards against settings errors that are reported one at a time, and wrong exit statuses. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
internal class SettingsTest {
    private lateinit var cluster: Cluster

    @BeforeAll
    fun startCluster() = runBlocking {
        cluster = Cluster.start(ClusterPlan(daemonCount = 1, engineCount = 1))
    }

    @AfterAll
    fun stopCluster() = cluster.close()

    /** Runs a program to its end; returns its exit status and output. */
    private fun run(program: Program, vararg arguments: String): Pair<Int, String> =
        ManagedProcess.start(program.module, program, arguments.toList()).use { process ->
            val status = process.awaitExit()
            status to process.outputText
        }

    @Nested
    inner class Daemon {
        @Test
        fun `missing flags are all named and the exit status is 2`() {
            val (status, output) = run(Program.DAEMON)
            assertEquals(2, status, output)
            val flags = listOf(
                "--host-id",
                "--failure-domain",
                "--http-listen",
                "--peer-listen",
                "--log-url",
                "--host-list-url",
                "--peer-secret",
                "--operator-token"
            )
            assertEquals(emptyList(), flags.filter { it !in output }, output)
        }

        @Test
        fun `wrong values are all named with what was found and the exit status is 2`() {
            val wrong = listOf(
                "--host-id" to "a host", "--failure-domain" to "x".repeat(64),
                "--http-listen" to "localhost:1", "--peer-listen" to "127.0.0.1:70000",
                "--log-url" to "ftp://127.0.0.1:1", "--host-list-url" to "127.0.0.1",
                "--peer-secret" to "short", "--operator-token" to "brief",
                "--drain-notice-ms" to "-1", "--max-body-bytes" to "many",
                "--log-format" to "xml"
            )
            val arguments = wrong.flatMap { (flag, value) -> listOf(flag, value) }
            val (status, output) = run(Program.DAEMON, *arguments.toTypedArray())
            assertEquals(2, status, output)
            assertEquals(emptyList(), wrong.map { it.first }.filter { it !in output }, output)
            assertTrue("'localhost:1'" in output && "'70000'" !in output, output)
            assertTrue("brief" !in output, "expected no secret in the output, found $output")
        }

        @Test
        fun `an unknown flag gives the exit status 2`() {
            assertEquals(2, run(Program.DAEMON, "--no-such-flag", "x").first)
        }
    }

    @Nested
    inner class CommandLine {
        @TempDir
        lateinit var directory: Path

        private fun cli(vararg arguments: String, server: String = cluster.daemons[0].url) = run(
            Program.CLI,
            *arguments,
            "--server",
            server,
            "--token",
            DaemonHandle.OPERATOR_TOKEN
        )

        @Test
        fun `a command that succeeds exits with 0`() {
            assertEquals(0, cli("preset", "status").first)
            assertEquals(0, cli("preset", "switch", "peak").first)
        }

        @Test
        fun `a change that is refused exits with 1`() {
            val (status, output) = cli("preset", "switch", "none")
            assertEquals(1, status, output)
        }

        @Test
        fun `a wrong option or file exits with 2`() {
            assertEquals(2, cli("no-such-command").first)
            Files.createDirectories(directory)
            directory.resolve("wrong.yaml").writeText("tiers: [{rank: high}]\n")
            val (status, output) = cli("plan", "-f", directory.toString())
            assertEquals(2, status, output)
        }

        @Test
        fun `a command exits with 3 when the daemon does not answer`() {
            // Port 1 of the loopback address is reserved and not in use.
            val (status, output) = cli("preset", "status", server = "http://127.0.0.1:1")
            assertEquals(3, status, output)
        }
    }
}
