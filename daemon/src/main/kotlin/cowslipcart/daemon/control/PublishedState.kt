package cowslipcart.daemon.control

import cowslipcart.core.host.KnownHost
import cowslipcart.core.model.Configuration
import cowslipcart.core.model.LogOffset
import kotlinx.coroutines.flow.MutableStateFlow

/** Immutable snapshots of control state, published for traffic threads. */
internal class PublishedState {
    val configuration = MutableStateFlow(PublishedConfiguration(Configuration.EMPTY, LogOffset(0)))
    val readiness = MutableStateFlow(Readiness(false, listOf("the first read of the log")))
    val hosts = MutableStateFlow<List<KnownHost>>(emptyList())

    /** Set at the start of a graceful shutdown. */
    val isDraining = MutableStateFlow(false)

    /** Whether this host takes new requests. */
    val isReady: Boolean get() = readiness.value.isReady && !isDraining.value
}

/**
 * Configuration in force.
 *
 * @property nextOffset offset after the last configuration record that was applied
 */
internal data class PublishedConfiguration(
    val configuration: Configuration,
    val nextOffset: LogOffset
)

/** Readiness of the controller; [missing] names what it still waits for. */
internal data class Readiness(val isReady: Boolean, val missing: List<String>)
