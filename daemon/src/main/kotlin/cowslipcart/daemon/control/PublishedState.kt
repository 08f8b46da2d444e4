package cowslipcart.daemon.control

import cowslipcart.core.model.Configuration
import cowslipcart.core.model.LogOffset
import cowslipcart.core.node.KnownHost
import kotlinx.coroutines.flow.MutableStateFlow

/** Immutable copies of control state that traffic threads may read. */
internal class PublishedState {
    val configuration = MutableStateFlow(PublishedConfiguration(Configuration.EMPTY, LogOffset(0)))
    val readiness = MutableStateFlow(Readiness(false, listOf("the first reading of the log")))
    val hosts = MutableStateFlow<List<KnownHost>>(emptyList())

    /** Set at the start of a graceful shutdown. */
    val isDraining = MutableStateFlow(false)

    val isReady: Boolean get() = readiness.value.isReady && !isDraining.value
}

internal data class PublishedConfiguration(
    val configuration: Configuration,
    val nextOffset: LogOffset
)

internal data class Readiness(val isReady: Boolean, val missing: List<String>)
