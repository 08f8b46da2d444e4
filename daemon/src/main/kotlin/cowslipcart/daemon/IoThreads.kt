package cowslipcart.daemon

import java.util.Properties
import kotlinx.coroutines.IO_PARALLELISM_PROPERTY_NAME

/**
 * Limits the threads of `Dispatchers.IO`, on which Ktor serves connections. Must run before the
 * first coroutine. The default of 64 threads is meant for blocking calls; here only the selectors
 * block, and more threads than processors cost wake-ups and delay the control thread. A limit that
 * is already set in [properties] is kept.
 */
internal fun limitIoThreads(
    processorCount: Int = Runtime.getRuntime().availableProcessors(),
    properties: Properties = System.getProperties()
) {
    val count = SELECTOR_COUNT + maxOf(MIN_WORKER_COUNT, processorCount / 2)
    properties.putIfAbsent(IO_PARALLELISM_PROPERTY_NAME, count.toString())
}

/** Selectors of the HTTP server, the HTTP client and the peer sockets; each blocks a thread. */
private const val SELECTOR_COUNT = 3
private const val MIN_WORKER_COUNT = 2
