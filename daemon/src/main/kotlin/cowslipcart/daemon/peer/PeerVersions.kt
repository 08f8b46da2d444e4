package cowslipcart.daemon.peer

import cowslipcart.core.model.HostId
import cowslipcart.wire.peer.PeerProtocol
import java.util.concurrent.ConcurrentHashMap

/** Newest protocol version that each host understands, as its latest frame told. */
internal class PeerVersions {
    private val versions = ConcurrentHashMap<HostId, Int>()

    /** Returns the version for [host], the first one if nothing is known. */
    fun versionFor(host: HostId): Int = versions[host] ?: PeerProtocol.FIRST_VERSION

    /** A host that was replaced by an older version tells it with its first frame. */
    fun learn(host: HostId, newestVersion: Int) {
        versions[host] = newestVersion
    }

    fun forget(host: HostId) {
        versions.remove(host)
    }
}
