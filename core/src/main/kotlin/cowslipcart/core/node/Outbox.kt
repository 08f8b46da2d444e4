package cowslipcart.core.node

import cowslipcart.core.model.HostId

/**
 * Collects the effects of one input. Messages to this host itself go to [toSelf] and are handled in
 * the same turn.
 */
internal class Outbox(private val self: HostId, private val addressOf: (HostId) -> String?) {
    private val effects = mutableListOf<NodeEffect>()
    val toSelf = ArrayDeque<PeerMessage>()

    fun emit(effect: NodeEffect) {
        effects += effect
    }

    /** Sends to a host that is known to run; a message to an unknown host is dropped. */
    fun send(to: HostId?, message: PeerMessage) {
        if (to == null) return
        if (to == self) {
            toSelf.addLast(message)
            return
        }
        val address = addressOf(to) ?: return
        effects += NodeEffect.SendPeer(to, address, message)
    }

    fun drain(): List<NodeEffect> = effects.toList().also { effects.clear() }
}
