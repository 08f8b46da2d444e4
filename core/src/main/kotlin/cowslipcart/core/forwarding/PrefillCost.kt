package cowslipcart.core.forwarding

/**
 * Work of reading a prompt, in tokens of a short one. Each token is compared with all before it, so
 * that a prompt of 50,000 tokens takes twice as long for each token as one of 1,000.
 *
 * Load pattern: long prompts that hold up all short ones behind them.
 */
internal object PrefillCost {
    /** Tokens of a short prompt that take as long to read as one of [tokens]. */
    fun ofTokens(tokens: Int): Int =
        (tokens + SHORT_TOKENS_PER_PAIR * tokens.toDouble() * tokens).toInt()

    /** From the sheets of both deployments: short prompts on the reference engine. */
    const val TOKENS_PER_MS = 101.0

    /** From the sheets: a million pairs take 0.184 ms, in which 101 tokens a ms are read. */
    private const val SHORT_TOKENS_PER_PAIR = 0.184 * TOKENS_PER_MS / 1_000_000
}
