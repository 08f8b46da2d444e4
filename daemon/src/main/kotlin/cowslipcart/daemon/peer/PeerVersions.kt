package cowslipcart.daemon.peer

import cowslipcart.core.model.HostId
import cowslipcart.wire.peer.PeerProtocol
import java.util.concurrent.ConcurrentHashMap

/** Newest protocol version that each host understands, as announced in its latest frame. */
internal class PeerVersions {
    private val versions = ConcurrentHashMap<HostId, Int>()

    /** Returns the version to use for [host]; the first version if the host has announced none. */
    fun versionFor(host: HostId): Int = versions[host] ?: PeerProtocol.FIRST_VERSION

    /** Records an announced version, which is lower than before after a rollback of the host. */
    fun learn(host: HostId, newestVersion: Int) {
        versions[host] = newestVersion
    }

    fun forget(host: HostId) {
        versions.remove(host)
    }
}
