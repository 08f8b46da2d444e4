package cowslipcart.core.forwarding

/**
 * Speed of an engine relative to the reference engine, estimated from the shortest gaps between the
 * events of its streams, during which it prefilled no prompt. The engines of one pool differ in
 * speed by several times.
 */
internal class EndpointSpeed {
    private var sampleCount = 0

    /** Decode time of one token while no prompt is prefilled, in ms. */
    var msPerToken = REFERENCE_TOKEN_MS
        private set

    /** The newest sample of this host that has not been reported to the other hosts. */
    private var unreportedTokenMs: Double? = null

    /** Prefill rate for short prompts, in tokens per ms. */
    val prefillTokensPerMs: Double
        get() = PrefillCost.TOKENS_PER_MS * relative

    /** 1.0 for the reference engine, more for a faster one. */
    val relative: Double get() = REFERENCE_TOKEN_MS / msPerToken

    /** Moving average of the actual over the expected time to first token; 1.0 if they agree. */
    var firstTokenFactor = 1.0
        private set

    /** The first token was expected after [expectedMs] and arrived after [actualMs]. */
    fun onFirstToken(expectedMs: Double, actualMs: Long) {
        if (expectedMs < MIN_EXPECTED_MS) return
        val sample = (actualMs / expectedMs).coerceIn(MIN_FACTOR, MAX_FACTOR)
        firstTokenFactor += (sample - firstTokenFactor) * FACTOR_WEIGHT
    }

    /** The fastest part of a stream of this host had [tokens] tokens in [durationMs]. */
    fun onStream(tokens: Int, durationMs: Long) {
        if (tokens < MIN_SAMPLE_TOKENS) return
        val sample = durationMs.toDouble() / tokens
        if (sample < MIN_TOKEN_MS) return
        unreportedTokenMs = sample
        addSample(sample)
    }

    /** Another host measured a decode time of [sampleMs] per token. */
    fun onPeerSample(sampleMs: Double) = addSample(sampleMs)

    /** Returns the sample that has not been reported yet and marks it as reported. */
    fun takeUnreported(): Double? = unreportedTokenMs.also { unreportedTokenMs = null }

    private fun addSample(sampleMs: Double) {
        sampleCount = minOf(sampleCount + 1, MAX_SAMPLES)
        msPerToken += (minOf(sampleMs, MAX_TOKEN_MS) - msPerToken) / sampleCount
    }

    private companion object {
        /** Shorter times are dominated by the network, in ms. */
        const val MIN_EXPECTED_MS = 20.0
        const val MIN_FACTOR = 0.5
        const val MAX_FACTOR = 8.0

        /** Weight of a new sample; a host gets about one a second from each endpoint. */
        const val FACTOR_WEIGHT = 0.2

        /** Specified decode step of the reference engine with a batch of ten, in ms. */
        const val REFERENCE_TOKEN_MS = 3.2

        /** Shorter streams are dominated by the network. */
        const val MIN_SAMPLE_TOKENS = 24

        /** Short enough that an engine that becomes slow is detected after a few streams. */
        const val MAX_SAMPLES = 6

        /** Events that arrive faster were buffered on the way, in ms per token. */
        const val MIN_TOKEN_MS = 0.5
        const val MAX_TOKEN_MS = 40.0
    }
}
