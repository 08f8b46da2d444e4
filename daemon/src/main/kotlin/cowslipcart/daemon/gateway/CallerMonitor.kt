package cowslipcart.daemon.gateway

import kotlinx.coroutines.DisposableHandle

/** Tells whether the caller of a request has closed its connection. */
internal interface CallerMonitor {
    /** Whether the end of the connection was read, or a reset. */
    val isClosed: Boolean

    /** Time at which the end was read, on the monotonic clock; null before. */
    val closedAtMs: Long?

    /**
     * Calls [action] as soon as the end of the connection is read, or at once if it was. [action]
     * runs on the thread that reads, ahead of the coroutines that wait for their turn.
     */
    fun onClose(action: () -> Unit): DisposableHandle

    /** Waits until the caller closes the connection. */
    suspend fun awaitClose()

    /**
     * Returns if the caller has not closed the connection, as far as the kernel of this host knows;
     * throws [CallerDisconnectedException] otherwise.
     */
    suspend fun confirmOpen()
}
