package cowslipcart.standins.load

import cowslipcart.core.model.Tier
import cowslipcart.standins.engine.ChatMessage
import kotlin.math.ln
import kotlin.random.Random

/**
 * Mix of requests. Tier, prompt length and answer length are drawn uniformly for each request.
 *
 * @property requestsPerS mean rate; the times between requests are exponentially distributed
 * @property isKeyed whether requests carry an idempotency key
 * @property resendRate share of requests that are sent a second time with the same key
 */
internal data class LoadMix(
    val targetCount: Int,
    val requestsPerS: Double,
    val durationMs: Long,
    val tiers: List<Tier>,
    val promptWords: IntRange,
    val maxTokens: IntRange,
    val isKeyed: Boolean,
    val resendRate: Double,
    val seed: Long
)

/** Second transmission of a request, planned [delayMs] after the first. */
internal data class PlannedResend(val targetIndex: Int, val delayMs: Long)

/**
 * A request to send.
 *
 * @property atMs time since the start of the run
 * @property resend null if the request is sent once
 */
internal data class PlannedRequest(
    val index: Int,
    val atMs: Long,
    val targetIndex: Int,
    val tier: Tier,
    val messages: List<ChatMessage>,
    val maxTokens: Int,
    val resend: PlannedResend?
)

/** Returns the requests of a run in the order of their times; the same mix gives the same plan. */
internal fun planLoad(mix: LoadMix): Sequence<PlannedRequest> = sequence {
    val random = Random(mix.seed)
    var atMs = 0.0
    var index = 0
    while (true) {
        atMs += -ln(1.0 - random.nextDouble()) / mix.requestsPerS * MS_PER_S
        if (atMs >= mix.durationMs) break
        yield(planRequest(mix, index++, atMs.toLong(), random))
    }
}

private fun planRequest(mix: LoadMix, index: Int, atMs: Long, random: Random): PlannedRequest {
    val targetIndex = random.nextInt(mix.targetCount)
    val words = random.nextInt(mix.promptWords.first, mix.promptWords.last + 1)
    val resend = if (random.nextDouble() < mix.resendRate) {
        // Any other target; the same one only if there is no other.
        val step = if (mix.targetCount > 1) random.nextInt(1, mix.targetCount) else 0
        PlannedResend((targetIndex + step) % mix.targetCount, random.nextLong(MAX_RESEND_DELAY_MS))
    } else {
        null
    }
    // The seed and the index make each prompt, and so each expected answer, unique.
    val content = (0 until words).joinToString(" ") { "s${mix.seed}r${index}n$it" }
    return PlannedRequest(
        index,
        atMs,
        targetIndex,
        mix.tiers.random(random),
        listOf(ChatMessage("user", content)),
        random.nextInt(mix.maxTokens.first, mix.maxTokens.last + 1),
        resend
    )
}

private const val MS_PER_S = 1_000.0
private const val MAX_RESEND_DELAY_MS = 1_000L
