package cowslipcart.core.forwarding

/**
 * Speed of an engine relative to the reference engine, learned from the pauses between the events
 * of its streams. Engines of one pool differ several times in speed.
 */
internal class EndpointSpeed {
    private var tokenMs = REFERENCE_TOKEN_MS
    private var sampleCount = 0

    /** Prompt tokens that the engine reads in a ms. */
    val prefillTokensPerMs: Double
        get() = REFERENCE_PREFILL_TOKENS_PER_MS * relative

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

    /** A stream made [tokens] tokens in [durationMs] after its first event. */
    fun onStream(tokens: Int, durationMs: Long) {
        if (tokens < MIN_SAMPLE_TOKENS) return
        val sample = (durationMs.toDouble() / tokens).coerceIn(MIN_TOKEN_MS, MAX_TOKEN_MS)
        sampleCount = minOf(sampleCount + 1, MAX_SAMPLES)
        tokenMs += (sample - tokenMs) / sampleCount
    }

    private companion object {
        /** Shorter times say more of the network than of the engine, in ms. */
        const val MIN_EXPECTED_MS = 20.0
        const val MIN_FACTOR = 0.5
        const val MAX_FACTOR = 8.0

        /** Weight of a new sample; a host sees about one a second of each endpoint. */
        const val FACTOR_WEIGHT = 0.2

        /** Time of one decode step of the reference engine with some prefill beside it, in ms. */
        const val REFERENCE_TOKEN_MS = 4.0

        /** From the sheets of both deployments: 101 prompt tokens are read in a ms. */
        const val REFERENCE_PREFILL_TOKENS_PER_MS = 101.0

        /** Shorter streams say more of the network than of the engine. */
        const val MIN_SAMPLE_TOKENS = 30
        const val MAX_SAMPLES = 16
        const val MIN_TOKEN_MS = 0.5
        const val MAX_TOKEN_MS = 40.0
    }
}
