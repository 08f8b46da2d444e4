package cowslipcart.experiment.scenario

import arrow.core.Either
import java.io.File
import java.io.IOException
import kotlin.system.exitProcess

/**
 * Entry point of `bin/scenario FILE...`. Exit status 0 if all scenarios pass, 1 if an expectation
 * fails, 2 if a file cannot be read.
 */
public fun main(args: Array<String>) {
    if (args.isEmpty()) {
        System.err.println("usage: bin/scenario FILE...")
        exitProcess(UNREADABLE)
    }
    exitProcess(args.maxOf { runFile(it) })
}

private fun runFile(path: String): Int {
    val text = try {
        File(path).readText()
    } catch (e: IOException) {
        System.err.println("$path: ${e.message}")
        return UNREADABLE
    }
    return when (val parsed = parseScenario(path, text)) {
        is Either.Left -> {
            System.err.println(parsed.value)
            UNREADABLE
        }

        is Either.Right -> report(path, runScenario(parsed.value))
    }
}

private fun report(path: String, result: ScenarioResult): Int = when (result) {
    ScenarioResult.Passed -> {
        println("pass $path")
        0
    }

    is ScenarioResult.Failed -> {
        result.trace.forEach { println("    $it") }
        println("$path:${result.line}: ${result.detail}")
        1
    }
}

private const val UNREADABLE = 2
