package cowslipcart.experiment.scenario

import cowslipcart.core.claims.ClaimVerdict
import cowslipcart.core.host.PeerMessage
import cowslipcart.core.model.HostId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Event before which a host is paused. */
@Serializable
internal enum class PausePoint {
    /** The reply that the host won a claim has arrived but has not been handled. */
    @SerialName("claim-won")
    CLAIM_WON,

    /** A grant has arrived but has not been handled. */
    @SerialName("grant")
    GRANT,

    /** The control state has decided to dispatch a request, but no byte has been sent. */
    @SerialName("dispatch")
    DISPATCH
}

/** Pauses hosts before an event whose time a scenario cannot know in advance. */
internal class PauseTriggers(private val time: Timeline) {
    private val armed = HashMap<HostId, PausePoint>()

    /** Hosts whose pause has not happened yet. */
    val pending: Set<HostId> get() = armed.keys

    /** Pauses [host] at the next occurrence of [point]. */
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
        pauseIfArmed(process, point)
    }

    fun onDispatch(process: HostProcess) = pauseIfArmed(process, PausePoint.DISPATCH)

    private fun pauseIfArmed(process: HostProcess, point: PausePoint?) {
        if (point == null || armed[process.host] != point) return
        armed.remove(process.host)
        time.note("${process.host}: paused at $point")
        process.pause()
    }
}
