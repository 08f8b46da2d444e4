package cowslipcart.experiment.scenario

import cowslipcart.core.claims.ClaimVerdict
import cowslipcart.core.model.HostId
import cowslipcart.core.node.PeerMessage
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Event before which a host is paused. */
@Serializable
internal enum class PausePoint {
    /** The message that it won a claim has arrived and is not handled. */
    @SerialName("claim-won")
    CLAIM_WON,

    /** A grant has arrived and is not handled. */
    @SerialName("grant")
    GRANT,

    /** Control has decided to dispatch a request and no byte was sent. */
    @SerialName("dispatch")
    DISPATCH
}

/** Pauses hosts at points that a script cannot hit by time. */
internal class PauseTriggers(private val time: Timeline) {
    private val armed = HashMap<HostId, PausePoint>()

    /** Hosts whose pause has not happened yet. */
    val pending: Set<HostId> get() = armed.keys

    fun arm(host: HostId, point: PausePoint) {
        armed[host] = point
    }

    fun onMessage(process: HostProcess, message: PeerMessage) {
        val point = when (message) {
            is PeerMessage.ClaimReply ->
                PausePoint.CLAIM_WON.takeIf { message.verdict == ClaimVerdict.Won }

            is PeerMessage.CapacityGranted -> PausePoint.GRANT

            else -> null
        }
        reach(process, point)
    }

    fun onDispatch(process: HostProcess) = reach(process, PausePoint.DISPATCH)

    private fun reach(process: HostProcess, point: PausePoint?) {
        if (point == null || armed[process.host] != point) return
        armed.remove(process.host)
        time.note("${process.host}: paused at $point")
        process.pause()
    }
}
