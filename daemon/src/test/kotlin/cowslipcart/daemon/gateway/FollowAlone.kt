package cowslipcart.daemon.gateway

import cowslipcart.core.forwarding.EndpointEntry
import cowslipcart.core.forwarding.EndpointHeartbeat
import cowslipcart.core.forwarding.HostProfile
import cowslipcart.core.model.HostId
import cowslipcart.core.routing.RoutingTable
import cowslipcart.core.store.KeyedStore
import cowslipcart.core.store.StoreUpdate
import cowslipcart.daemon.SocketAddressSetting
import cowslipcart.daemon.control.RuntimeClock
import kotlin.random.Random
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.testTimeSource

/** Heartbeats of endpoints as a [StoreListener] is told of them. */
internal class ToldHeartbeats(val heartbeats: List<EndpointHeartbeat>, val writtenAfterMs: Long)

/** Keeps what a [StoreFollower] tells. */
internal class RecordingStoreListener : StoreListener {
    /** Ids of the endpoints. */
    var endpoints = emptySet<String>()
        private set

    /** Revision of the configuration. */
    var revision = 0L
        private set
    val told = mutableListOf<ToldHeartbeats>()

    override fun onRouting(table: RoutingTable) {
        revision = table.revision.value
    }

    override fun onEndpoints(entries: List<EndpointEntry>) {
        endpoints = entries.map { it.id.value }.toSet()
    }

    override fun onEndpointsKnown(asOfMs: Long, isStoreLost: Boolean) = Unit

    override fun onHeartbeats(heartbeats: List<EndpointHeartbeat>, writtenAfterMs: Long) {
        told += ToldHeartbeats(heartbeats, writtenAfterMs)
    }

    override fun onHosts(hosts: Map<HostId, HostRecord>) = Unit

    /** How often the store came back from an older copy. */
    var replacedCount = 0
        private set

    override fun onStoreReplaced() {
        replacedCount++
    }
}

/** Publisher of a host that has no others. */
internal object SilentPublisher : StoreUpdatePublisher {
    override val groupRank = 0

    override fun publish(update: StoreUpdate) = Unit
}

/** What the followers of one host without others share. */
@OptIn(ExperimentalCoroutinesApi::class)
internal fun TestScope.followingAlone(
    store: KeyedStore,
    decoder: RecordDecoder,
    listener: StoreListener = RecordingStoreListener()
): StoreFollowing {
    val clock = RuntimeClock(testTimeSource)
    val log = GatewayEventLog(clock, GatewayMetrics())
    return StoreFollowing(store, decoder, listener, SilentPublisher, log, clock)
}

/** Follows [store] in the background and returns what is told. */
internal fun TestScope.followAlone(
    store: KeyedStore,
    decoder: RecordDecoder
): RecordingStoreListener {
    val listener = RecordingStoreListener()
    val record = HostRecord(SocketAddressSetting("127.0.0.1", 1), HostProfile("a", 1.0))
    StoreFollower(followingAlone(store, decoder, listener), configurationBoundMs = 2_000, Random(3))
        .start(backgroundScope, HostId("h"), record)
    return listener
}
