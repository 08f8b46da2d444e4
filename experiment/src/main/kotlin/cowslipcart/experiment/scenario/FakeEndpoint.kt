package cowslipcart.experiment.scenario

import cowslipcart.core.capacity.LoadReport
import cowslipcart.core.model.EndpointSpec
import cowslipcart.core.model.HostId
import cowslipcart.core.model.RequestId

/** A call to an endpoint. [outputCount] is the number of events of the whole answer. */
internal data class EndpointCall(
    val requestId: RequestId,
    val host: HostId,
    val key: String?,
    val organisation: String,
    val content: String,
    val promptTokens: Int,
    val outputCount: Int
)

/** Receives the events of one stream. */
internal interface StreamListener {
    fun onEvent(sequence: Int, text: String)

    fun onEnd()

    fun onBroken()
}

/** A model engine or a plain service. It adds every call that it starts to the [journal]. */
internal class FakeEndpoint(
    val spec: EndpointSpec,
    val isModel: Boolean,
    private val time: Timeline,
    private val journal: Journal
) {
    private inner class Run(val call: EndpointCall, val listener: StreamListener) {
        var nextEvent = 0
    }

    private val runs = LinkedHashMap<RequestId, Run>()
    private val resumeHandles = HashMap<RequestId, Int>()

    var isUp = true
        private set

    /** Time at which it announced that it leaves, or null. */
    var leavingSinceMs: Long? = null
        private set

    /** Factor by which all delays are multiplied. */
    var slowness = 1

    val runningCount: Int get() = runs.size

    fun load(): LoadReport? = if (isUp) {
        LoadReport(spec.id, 0, runs.size, 0, leavingSinceMs != null)
    } else {
        null
    }

    /** Starts a call; returns false if the connection was refused. */
    fun start(call: EndpointCall, decidedAtMs: Long, listener: StreamListener): Boolean {
        if (!isUp) return false
        journal.add(JournalEntry(time.nowMs, decidedAtMs, spec.id, call, false))
        time.note("${spec.id}: starts ${call.requestId} of ${call.host}, content ${call.content}")
        val run = Run(call, listener)
        runs[call.requestId] = run
        if (call.content.startsWith(POISON_PREFIX)) time.after(CRASH_DELAY_MS) { crashWith(run) }
        val prefillMs = if (isModel) call.promptTokens * 1_000L / PREFILL_TOKENS_PER_S else 0
        schedule(run, prefillMs + EVENT_GAP_MS)
        return true
    }

    /** Resumes a cancelled stream at event [from]; returns false if down or without a handle. */
    fun resume(call: EndpointCall, from: Int, listener: StreamListener): Boolean {
        if (!isUp || resumeHandles.remove(call.requestId) == null) return false
        journal.add(JournalEntry(time.nowMs, time.nowMs, spec.id, call, true))
        time.note("${spec.id}: resumes ${call.requestId} at $from")
        val run = Run(call, listener).apply { nextEvent = from }
        runs[call.requestId] = run
        schedule(run, EVENT_GAP_MS)
        return true
    }

    /** Stops a call; returns whether its stream can be resumed. */
    fun cancel(requestId: RequestId): Boolean {
        val run = runs.remove(requestId) ?: return false
        resumeHandles[requestId] = run.nextEvent
        return isModel
    }

    /** Loses all calls and handles and refuses connections. */
    fun crash() {
        if (!isUp) return
        time.note("${spec.id}: crashes with ${runs.size} calls")
        isUp = false
        resumeHandles.clear()
        val broken = runs.values.toList()
        runs.clear()
        broken.forEach { it.listener.onBroken() }
    }

    fun recover() {
        time.note("${spec.id}: accepts connections again")
        isUp = true
    }

    fun leave() {
        time.note("${spec.id}: announces that it leaves")
        leavingSinceMs = time.nowMs
    }

    /** Crashes the endpoint if [run] has not ended. */
    private fun crashWith(run: Run) {
        if (runs[run.call.requestId] === run) crash()
    }

    private fun schedule(run: Run, delayMs: Long) = time.after(delayMs * slowness) { emitNext(run) }

    private fun emitNext(run: Run) {
        if (runs[run.call.requestId] !== run) return
        if (run.nextEvent == run.call.outputCount) {
            runs.remove(run.call.requestId)
            run.listener.onEnd()
            return
        }
        run.listener.onEvent(run.nextEvent, eventText(run.call, run.nextEvent))
        run.nextEvent++
        schedule(run, EVENT_GAP_MS)
    }

    companion object {
        /** Content that crashes its endpoint. */
        const val POISON_PREFIX = "poison"
        private const val CRASH_DELAY_MS = 100L
        private const val EVENT_GAP_MS = 20L
        private const val PREFILL_TOKENS_PER_S = 5_000

        private fun eventText(call: EndpointCall, number: Int) =
            "${call.organisation}/${call.content}/$number;"

        /** The whole answer to a call, as its caller must receive it. */
        fun wholeAnswer(call: EndpointCall): String =
            (0 until call.outputCount).joinToString("") { eventText(call, it) }
    }
}
