package cowslipcart.daemon.gateway

import cowslipcart.core.forwarding.AttemptOutcome
import cowslipcart.daemon.http1.RequestBody
import cowslipcart.daemon.http1.RequestHead
import cowslipcart.daemon.http1.ResponseHead
import kotlinx.coroutines.Job

/** A request of a caller with its whole body. */
internal class BufferedRequest(val head: RequestHead, val body: RequestBody) {
    constructor(head: RequestHead, body: ByteArray) :
        this(head, RequestBody(if (body.isEmpty()) emptyList() else listOf(body)))
}

/** A response of an endpoint that was read to its end and not yet forwarded. */
internal class BufferedResponse(val head: ResponseHead, body: ByteArray) {
    /** The body; empty once it was taken. */
    var body: ByteArray = body
        private set

    /** Returns the body and forgets it, so that it is not kept beside the message to the caller. */
    fun takeBody(): ByteArray = body.also { body = NO_BODY }

    private companion object {
        val NO_BODY = ByteArray(0)
    }
}

/**
 * How an attempt ended.
 *
 * @property response response of the endpoint if it was not streamed
 */
internal class ExchangeResult(val outcome: AttemptOutcome, val response: BufferedResponse? = null)

/** Connects a running attempt to the control thread. */
internal interface AttemptListener {
    /** Completes when another attempt replaces this one, which ends then. */
    val replaced: Job

    /**
     * The endpoint has accepted the request and begins a stream. Returns once the attempt that this
     * one replaces has ended, so that only one of them forwards events.
     */
    suspend fun onAccepted()

    /** The endpoint has started to respond. */
    fun onResponseStarted()

    /** This host has established a connection to the endpoint. */
    fun onConnected() = Unit

    /** The endpoint has said that it leaves. */
    fun onLeaving()

    /** The endpoint has refused the request, and may want no more for a while. */
    fun onBackoff(request: BackoffRequest)

    /** The endpoint has stated its load. */
    fun onLoadStated(statement: LoadStatement)

    /** The endpoint falls over if it has to decline more than [limitPerS] requests in a second. */
    fun onDeclineLimit(limitPerS: Int) = Unit

    /** The endpoint is silent. The attempt goes on unless it is replaced. */
    fun onStalled()
}
