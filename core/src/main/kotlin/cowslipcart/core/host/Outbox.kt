package cowslipcart.core.host

import cowslipcart.core.model.HostId

/**
 * Collects the effects of one input. Messages from this host to itself go to [localMessages], which
 * the controller handles before the input is done.
 */
internal class Outbox(private val self: HostId, private val addressOf: (HostId) -> String?) {
    private val effects = mutableListOf<HostEffect>()
    val localMessages = ArrayDeque<PeerMessage>()

    fun emit(effect: HostEffect) {
        effects += effect
    }

    /** Sends to a live host; a message to null or to a host without known address is dropped. */
    fun send(to: HostId?, message: PeerMessage) {
        if (to == null) return
        if (to == self) {
            localMessages.addLast(message)
            return
        }
        val address = addressOf(to) ?: return
        effects += HostEffect.SendPeer(to, address, message)
    }

    /** Removes and returns the collected effects. */
    fun takeEffects(): List<HostEffect> = effects.toList().also { effects.clear() }
}
