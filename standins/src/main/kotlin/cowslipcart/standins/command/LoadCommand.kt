package cowslipcart.standins.command

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.UsageError
import com.github.ajalt.clikt.parameters.options.convert
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.multiple
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.double
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import com.github.ajalt.clikt.parameters.types.restrictTo
import cowslipcart.core.model.Tier
import cowslipcart.standins.load.LoadClient
import cowslipcart.standins.load.LoadMix
import cowslipcart.standins.load.LoadRunner
import cowslipcart.standins.load.LoadTarget
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.Json

/** Sends chat requests to loopback addresses and prints the figures. */
internal class LoadCommand : CliktCommand("load") {
    private val targets by option("--target", help = "http://ADDRESS:PORT on loopback; repeatable")
        .convert { text -> LoadTarget.parse(text).fold({ fail(it.toString()) }, { it }) }
        .multiple(required = true)
    private val token by option(help = "bearer token of the organisation")
    private val rate by option(help = "mean requests per second")
        .double().restrictTo(min = 0.001).default(1.0)
    private val durationS by option(help = "time over which requests are sent")
        .double().restrictTo(min = 0.0).default(10.0)
    private val tiers by option("--tier", help = "rank of a tier; repeatable, drawn uniformly")
        .int().multiple(default = listOf(0))
    private val promptWords by option(help = "words in a prompt, N or MIN-MAX")
        .convert { text -> parseRange(text) ?: fail("expected N or MIN-MAX, got $text") }
        .default(100..100)
    private val maxTokens by option(help = "tokens in an answer, N or MIN-MAX")
        .convert { text -> parseRange(text) ?: fail("expected N or MIN-MAX, got $text") }
        .default(64..64)
    private val keyed by option(help = "send an idempotency key with each request").flag()
    private val resendRate by option(help = "share of requests sent twice with the same key")
        .double().restrictTo(0.0..1.0).default(0.0)
    private val timeoutS by option(help = "time after which an unfinished answer has failed")
        .double().restrictTo(min = 0.001).default(120.0)
    private val seed by option(help = "seed of the mix").long().default(1)

    override fun help(context: Context): String = "Sends chat requests and prints figures as JSON."

    override fun run() {
        if (resendRate > 0.0 && !keyed) {
            throw UsageError("--resend-rate: expected --keyed, got requests without a key")
        }
        val mix = LoadMix(
            targetCount = targets.size,
            requestsPerS = rate,
            durationMs = (durationS * MS_PER_S).toLong(),
            tiers = tiers.map { Tier(it) },
            promptWords = promptWords,
            maxTokens = maxTokens,
            isKeyed = keyed,
            resendRate = resendRate,
            seed = seed
        )
        val report = LoadClient(token, (timeoutS * MS_PER_S).toLong()).use { client ->
            runBlocking(Dispatchers.Default) { LoadRunner(mix, targets, client).run() }
        }
        println(json.encodeToString(report.toJson()))
    }

    private companion object {
        const val MS_PER_S = 1_000
        val json = Json { prettyPrint = true }

        /** Returns null unless [text] is a positive number or a range of them. */
        fun parseRange(text: String): IntRange? {
            val bounds = text.split('-').map { it.toIntOrNull() ?: return null }
            val range = bounds.first()..bounds.last()
            return range.takeIf { bounds.size <= 2 && range.first >= 1 && !range.isEmpty() }
        }
    }
}
