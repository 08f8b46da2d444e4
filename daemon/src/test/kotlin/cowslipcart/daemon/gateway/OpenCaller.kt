package cowslipcart.daemon.gateway

import kotlinx.coroutines.DisposableHandle
import kotlinx.coroutines.awaitCancellation

/** A caller that never closes its connection. */
internal object OpenCaller : CallerMonitor {
    override val isClosed: Boolean = false
    override val closedAtMs: Long? = null

    override fun onClose(action: () -> Unit) = DisposableHandle { }

    override suspend fun awaitClose() = awaitCancellation()

    override suspend fun confirmOpen() = Unit
}
