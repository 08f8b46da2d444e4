package cowslipcart.core.forwarding

/**
 * Prefill cost of a prompt, in tokens of a short prompt. Attention compares each token with all
 * tokens before it, so that a prompt of 50,000 tokens takes twice as long per token as one of
 * 1,000.
 *
 * Load pattern: long prompts that delay the short ones queued behind them.
 */
internal object PrefillCost {
    /** Tokens of a short prompt whose prefill takes as long as that of a prompt of [tokens]. */
    fun ofTokens(tokens: Int): Int =
        (tokens + SHORT_TOKENS_PER_PAIR * tokens.toDouble() * tokens).toInt()

    /** Prefill rate of the reference engine for short prompts, specified for both deployments. */
    const val TOKENS_PER_MS = 101.0

    /** By specification a million token pairs take 0.184 ms, at 101 short-prompt tokens per ms. */
    private const val SHORT_TOKENS_PER_PAIR = 0.184 * TOKENS_PER_MS / 1_000_000
}
