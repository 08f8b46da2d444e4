package cowslipcart.daemon.session

import cowslipcart.daemon.control.RuntimeClock

/**
 * Stages of a request from its arrival to the first byte of its answer, in order.
 *
 * @property label value of the metric label `stage`
 */
internal enum class RequestStage(val label: String) {
    /** Until the request is submitted to the controller: its body is read and parsed. */
    PREPARE("prepare"),

    /** Until the controller dispatches it, including claims and the wait for capacity. */
    DECIDE("decide"),

    /** Until a traffic thread starts the dispatch. */
    HAND_OVER("hand_over"),

    /** Until the first part of the endpoint's answer, including the connection to the endpoint. */
    ENDPOINT("endpoint"),

    /** Until that part is written to the caller's connection. */
    WRITE("write")
}

/**
 * Measures the stages of one request; the first one starts on creation. It needs no lock: each
 * stage ends on one thread, and the message that starts the next stage publishes the time.
 */
internal class RequestTimeline(private val clock: RuntimeClock) {
    private val startNs = clock.nowNs()
    private val endsNs = LongArray(RequestStage.entries.size) { NOT_ENDED }

    /** Ends [stage] at the first call; later calls, as for a resumed stream, are ignored. */
    fun end(stage: RequestStage) {
        if (endsNs[stage.ordinal] == NOT_ENDED) endsNs[stage.ordinal] = clock.nowNs()
    }

    /** Passes each stage and its duration in seconds to [observe], unless a stage has not ended. */
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
