package cowslipcart.daemon.session

import cowslipcart.daemon.control.RuntimeClock

/** Parts of the time from the arrival of a request to the first byte of its answer, in order. */
internal enum class RequestStage(val label: String) {
    /** Until control gets the request: its body is read and parsed. */
    PREPARE("prepare"),

    /** Until control decides to dispatch it, including claims and the wait for capacity. */
    DECIDE("decide"),

    /** Until a traffic thread takes the decision up. */
    HAND_OVER("hand_over"),

    /** Until the first part of the endpoint's answer, including the connection to the endpoint. */
    ENDPOINT("endpoint"),

    /** Until this part is given to the caller's connection. */
    WRITE("write")
}

/**
 * Measures the stages of one request; starts when it is created. Each stage ends on one thread, and
 * the message that starts the next one makes its time visible there.
 */
internal class RequestTimeline(private val clock: RuntimeClock) {
    private val startNs = clock.nowNs()
    private val endsNs = LongArray(RequestStage.entries.size) { NOT_ENDED }

    /** Ends [stage] unless it has ended: a resumed stream does not change its first stages. */
    fun end(stage: RequestStage) {
        if (endsNs[stage.ordinal] == NOT_ENDED) endsNs[stage.ordinal] = clock.nowNs()
    }

    /** Passes each stage and its seconds to [observe]; none if the request left out a stage. */
    fun observeStages(observe: (RequestStage, Double) -> Unit) {
        if (NOT_ENDED in endsNs) return
        var previousNs = startNs
        for (stage in RequestStage.entries) {
            val endNs = endsNs[stage.ordinal]
            observe(stage, (endNs - previousNs) / NS_PER_S)
            previousNs = endNs
        }
    }

    private companion object {
        const val NOT_ENDED = -1L
        const val NS_PER_S = 1e9
    }
}
