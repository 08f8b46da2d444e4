package cowslipcart.experiment.scenario

import cowslipcart.core.membership.HostList
import cowslipcart.core.membership.ListedHost
import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.HostId

/** The platform's list of hosts and leaving endpoints; each change appears after [lagMs]. */
internal class FakeHostList(private val time: Timeline, private val lagMs: Long) {
    private val hosts = sortedMapOf<HostId, ListedHost>()
    private val leavingEndpoints = mutableSetOf<EndpointId>()

    fun read(): HostList = HostList(hosts.values.toList(), leavingEndpoints.toSet())

    fun list(host: HostId, isLeaving: Boolean = false, isLate: Boolean = true) =
        change(isLate) { hosts[host] = ListedHost(host, addressOf(host), isLeaving) }

    fun remove(host: HostId) = change(isLate = true) { hosts -= host }

    fun leave(endpoint: EndpointId) = change(isLate = true) { leavingEndpoints += endpoint }

    private fun change(isLate: Boolean, action: () -> Unit) {
        if (isLate) time.after(lagMs, action) else action()
    }

    companion object {
        /** Peer address of [host]. [Network] delivers by host id; the core only passes it on. */
        fun addressOf(host: HostId) = "$host:9000"
    }
}
