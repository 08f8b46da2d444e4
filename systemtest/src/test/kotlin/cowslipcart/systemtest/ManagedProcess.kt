package cowslipcart.systemtest

import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.TimeUnit
import kotlin.io.path.readLines
import kotlin.io.path.readText
import kotlin.test.fail

/** Program that is built by the sibling module [module]. */
internal enum class Program(val module: String) {
    DAEMON("daemon"),
    STANDIN("standins"),
    CLI("cli"),
    GATEWAY("platform");

    /** The program as this build made it. */
    val jar: Path get() = Path.of("..", module, "target", "cowslipcart-$module-0.1.0-all.jar")
}

/** A process started by a test; signals are sent to its process id only. */
internal class ManagedProcess private constructor(
    private val name: String,
    private val process: Process,
    private val output: Path
) : AutoCloseable {
    /** Standard output and standard error so far. */
    val outputText: String get() = output.readText()

    val pid: Long get() = process.pid()

    val isAlive: Boolean get() = process.isAlive

    /** Awaits the line `listening ...` and returns it. */
    suspend fun awaitListening(): String =
        awaitValue("$name to print a line 'listening ...'", LONG_BOUND_MS) {
            if (!isAlive) fail("expected $name to run, found it ended; its output:\n$outputText")
            output.readLines().firstOrNull { it.startsWith("listening ") }
        }

    fun pause() = signal("STOP")

    fun resume() = signal("CONT")

    fun terminate() = signal("TERM")

    /** Asks the process to read its settings again. */
    fun reload() = signal("HUP")

    /** Kills the process without a shutdown, as a crash of its host would. */
    fun kill() {
        process.destroyForcibly()
        awaitExit()
    }

    /** Awaits the end of the process and returns its exit status. */
    fun awaitExit(boundMs: Long = LONG_BOUND_MS): Int {
        if (!process.waitFor(boundMs, TimeUnit.MILLISECONDS)) {
            fail("expected $name to end within $boundMs ms; its output:\n$outputText")
        }
        return process.exitValue()
    }

    override fun close() {
        process.destroyForcibly()
        process.waitFor(LONG_BOUND_MS, TimeUnit.MILLISECONDS)
    }

    private fun signal(signal: String) {
        val kill = ProcessBuilder("kill", "-$signal", process.pid().toString()).start()
        val status = kill.waitFor()
        if (status != 0) fail("expected kill -$signal of $name to succeed, found status $status")
    }

    companion object {
        private val workDirectory: Path by lazy {
            val target = Files.createDirectories(Path.of("target", "system-test"))
            Files.createTempDirectory(target, "run-")
        }

        /** Starts [program]; its output goes to a file below `target/system-test`. */
        fun start(
            name: String,
            program: Program,
            arguments: List<String>,
            environment: Map<String, String> = emptyMap(),
            jvmOptions: List<String> = JVM_OPTIONS,
            jar: Path = program.jar
        ): ManagedProcess {
            check(Files.exists(jar)) { "expected $jar, found none; run mvn package first" }
            val output = Files.createTempFile(workDirectory, "$name-", ".out")
            val command = listOf(javaCommand()) + jvmOptions + listOf("-jar", jar.toString()) +
                arguments
            val builder = ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(output.toFile())
            // Settings of the caller's shell must not reach the process.
            builder.environment().keys.removeIf { it.startsWith("COWSLIPCART_") }
            builder.environment() += environment
            return ManagedProcess(name, builder.start(), output)
        }

        private fun javaCommand() =
            Path.of(System.getProperty("java.home"), "bin", "java").toString()

        val JVM_OPTIONS = listOf("-Xmx160m", "-XX:TieredStopAtLevel=1")
    }
}
