package cowslipcart.daemon.gateway

import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.channels.ReceiveChannel
import kotlinx.coroutines.selects.onTimeout
import kotlinx.coroutines.selects.select

/**
 * Receives an element, or returns null after [timeoutMs]. An element that arrives together with the
 * timeout is returned or stays in the channel. `withTimeoutOrNull { receive() }` would drop it: a
 * receiver that is cancelled before it resumes loses the element that it was handed.
 */
@OptIn(ExperimentalCoroutinesApi::class)
internal suspend fun <T : Any> ReceiveChannel<T>.receiveOrNull(timeoutMs: Long): T? = select {
    onReceive { it }
    onTimeout(timeoutMs) { null }
}
