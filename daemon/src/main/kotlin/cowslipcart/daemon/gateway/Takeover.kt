package cowslipcart.daemon.gateway

import kotlinx.coroutines.CompletableJob
import kotlinx.coroutines.awaitCancellation

/**
 * Ends the attempt of a silent endpoint as soon as the endpoint of the next attempt has accepted
 * the request, which it does by beginning its answer. Until then it may still decline, and the
 * silent endpoint may be the only one that goes on with the request. A request runs from its first
 * token on by the rules of the platform, so both endpoints run it only for the time that the
 * closing of a connection takes; 400 ms are allowed.
 *
 * @property replaced ends the attempt of the silent endpoint
 * @property awaitAnswered waits for the end of that attempt; returns whether it was answered
 */
internal class Takeover(
    private val replaced: CompletableJob,
    private val awaitAnswered: suspend () -> Boolean
) {
    /**
     * The endpoint has accepted the request. Returns when the other attempt has ended; is suspended
     * until the request ends if that one completed the stream.
     */
    suspend fun complete() {
        replaced.complete()
        if (awaitAnswered()) awaitCancellation()
    }
}
