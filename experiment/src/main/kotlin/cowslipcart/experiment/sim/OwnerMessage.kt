package cowslipcart.experiment.sim

import cowslipcart.core.capacity.CapacityRequest
import cowslipcart.core.capacity.GrantProgress
import cowslipcart.core.capacity.GrantReport
import cowslipcart.core.capacity.RunningGrant
import cowslipcart.core.capacity.SchedulerDecision
import cowslipcart.core.model.RequestId

/** A message from an origin host to a shard owner. */
internal sealed interface OwnerMessage {
    /** Asks for capacity. */
    data class Ask(val request: CapacityRequest) : OwnerMessage

    /** Withdraws an ask whose deadline passed. */
    data class CancelAsk(val requestId: RequestId) : OwnerMessage

    /** A grant has ended. */
    data class Released(val requestId: RequestId, val report: GrantReport) : OwnerMessage

    /** A stream was preempted; [resume] asks to resume it, null if it cannot be resumed. */
    data class GaveWay(
        val requestId: RequestId,
        val report: GrantReport,
        val resume: CapacityRequest?
    ) : OwnerMessage

    /** Output tokens of running streams. */
    data class Progress(val reports: List<GrantProgress>) : OwnerMessage

    /** All running grants of a host, for a new owner. */
    data class Running(val running: List<RunningGrant>) : OwnerMessage
}

/**
 * Estimated sizes of control messages in bytes, with frame header and CBOR field names. They
 * assume 36 characters for a request id and 9 bytes for a prefix hash.
 */
internal object ControlBytes {
    const val ASK = 240L
    const val PREFIX_BLOCK = 9L
    const val CANCEL_ASK = 90L
    const val GRANT = 160L
    const val REFUSE = 120L
    const val GIVE_WAY = 120L
    const val RELEASED = 200L
    const val PROGRESS_HEADER = 50L
    const val PROGRESS_ENTRY = 30L
    const val LOAD_REPORT = 150L
    const val CACHE_EVENT = 12L

    fun of(message: OwnerMessage): Long = when (message) {
        is OwnerMessage.Ask -> ofRequest(message.request)
        is OwnerMessage.CancelAsk -> CANCEL_ASK
        is OwnerMessage.Released -> RELEASED
        is OwnerMessage.GaveWay -> RELEASED + (message.resume?.let(::ofRequest) ?: 0)
        is OwnerMessage.Progress -> PROGRESS_HEADER + PROGRESS_ENTRY * message.reports.size
        is OwnerMessage.Running -> message.running.sumOf { GRANT + ofRequest(it.request) }
    }

    fun of(decision: SchedulerDecision): Long = when (decision) {
        is SchedulerDecision.Grant -> GRANT
        is SchedulerDecision.Refuse -> REFUSE
        is SchedulerDecision.Preempt -> GIVE_WAY
    }

    private fun ofRequest(request: CapacityRequest): Long =
        ASK + PREFIX_BLOCK * request.prefixBlocks.size
}
