package cowslipcart.core.forwarding

/**
 * Speed of an engine relative to the reference engine, learned from the quickest pauses between the
 * events of its streams, in which it read no prompts. Engines of one pool differ several times in
 * speed.
 */
internal class EndpointSpeed {
    private var sampleCount = 0

    /** Time of one token while no prompt is read, in ms. */
    var tokenMs = REFERENCE_TOKEN_MS
        private set

    /** The newest sample of this host that was not told to the others yet. */
    private var untoldTokenMs: Double? = null

    /** Prompt tokens that the engine reads in a ms. */
    val prefillTokensPerMs: Double
        get() = PrefillCost.TOKENS_PER_MS * relative

    /** 1.0 for the reference engine, more for a faster one. */
    val relative: Double get() = REFERENCE_TOKEN_MS / tokenMs

    /** Time until the first token against the expected one; 1.0 where the expectation holds. */
    var firstTokenFactor = 1.0
        private set

    /** A prompt that was expected to be read in [expectedMs] took [actualMs]. */
    fun onFirstToken(expectedMs: Double, actualMs: Long) {
        if (expectedMs < MIN_EXPECTED_MS) return
        val sample = (actualMs / expectedMs).coerceIn(MIN_FACTOR, MAX_FACTOR)
        firstTokenFactor += (sample - firstTokenFactor) * FACTOR_WEIGHT
    }

    /** The quickest part of a stream of this host had [tokens] tokens in [durationMs]. */
    fun onStream(tokens: Int, durationMs: Long) {
        if (tokens < MIN_SAMPLE_TOKENS) return
        val sample = durationMs.toDouble() / tokens
        if (sample < MIN_TOKEN_MS) return
        untoldTokenMs = sample
        learn(sample)
    }

    /** Another host measured [sampleMs] for one token. */
    fun onPeerSample(sampleMs: Double) = learn(sampleMs)

    /** Returns a sample that the other hosts do not have yet, and null afterwards. */
    fun takeUntold(): Double? = untoldTokenMs.also { untoldTokenMs = null }

    private fun learn(sampleMs: Double) {
        sampleCount = minOf(sampleCount + 1, MAX_SAMPLES)
        tokenMs += (minOf(sampleMs, MAX_TOKEN_MS) - tokenMs) / sampleCount
    }

    private companion object {
        /** Shorter times say more of the network than of the engine, in ms. */
        const val MIN_EXPECTED_MS = 20.0
        const val MIN_FACTOR = 0.5
        const val MAX_FACTOR = 8.0

        /** Weight of a new sample; a host sees about one a second of each endpoint. */
        const val FACTOR_WEIGHT = 0.2

        /** From the sheets: a decode step of the reference engine with ten requests, in ms. */
        const val REFERENCE_TOKEN_MS = 3.2

        /** Shorter streams say more of the network than of the engine. */
        const val MIN_SAMPLE_TOKENS = 24

        /** An engine that turns slow is known after a few streams. */
        const val MAX_SAMPLES = 6

        /** Events that arrive faster have waited together, in ms for one token. */
        const val MIN_TOKEN_MS = 0.5
        const val MAX_TOKEN_MS = 40.0
    }
}
