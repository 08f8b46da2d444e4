package cowslipcart.core.membership

import cowslipcart.core.model.HostId

/** Indirect pings: hosts on whose behalf this host has pinged another one, until it answers. */
internal class PingRelays {
    private val relays = mutableListOf<Relay>()

    fun add(target: HostId, requester: HostId, nowMs: Long) {
        relays += Relay(target, requester, nowMs)
    }

    /** Removes and returns the hosts that wait for an answer of [target], each once. */
    fun take(target: HostId): List<HostId> {
        val waiting = relays.filter { it.target == target }
        relays -= waiting.toSet()
        return waiting.map { it.requester }.distinct()
    }

    /** Removes relays that have waited for a ping interval or longer. */
    fun removeExpired(nowMs: Long) {
        relays.removeIf { nowMs - it.addedAtMs >= MembershipView.PING_INTERVAL_MS }
    }

    private data class Relay(val target: HostId, val requester: HostId, val addedAtMs: Long)
}
