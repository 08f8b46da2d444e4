package cowslipcart.daemon.gateway

import kotlinx.coroutines.CompletableJob
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch

/**
 * Ends the attempt of a silent endpoint as soon as the endpoint of the next attempt has accepted
 * the request. Until then the silent endpoint may be the only one that goes on with it.
 *
 * @property replaced ends the attempt of the silent endpoint
 * @property awaitAnswered waits for the end of that attempt; returns whether it was answered
 */
internal class Takeover(
    private val scope: CoroutineScope,
    private val replaced: CompletableJob,
    private val awaitAnswered: suspend () -> Boolean
) {
    private var accepting: Job? = null

    /** The request was sent. An endpoint that does not decline it soon has accepted it. */
    fun onSent() {
        accepting = scope.launch {
            delay(DECLINE_MS)
            replaced.complete()
        }
    }

    /**
     * The endpoint has accepted the request. Returns when the other attempt has ended; is suspended
     * until the request ends if that one completed the stream.
     */
    suspend fun complete() {
        replaced.complete()
        if (awaitAnswered()) awaitCancellation()
    }

    /** The attempt has ended. If it was not accepted before, the silent endpoint goes on. */
    fun cancel() {
        accepting?.cancel()
    }

    private companion object {
        /**
         * An endpoint declines at once. Both endpoints may work on the request for 400 ms by the
         * rules of the platform, and closing a connection takes a part of that.
         */
        const val DECLINE_MS = 150L
    }
}
