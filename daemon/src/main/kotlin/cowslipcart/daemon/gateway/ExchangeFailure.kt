package cowslipcart.daemon.gateway

import cowslipcart.daemon.http1.MalformedMessageException
import cowslipcart.daemon.http1.TooLongException
import java.io.IOException

/** Ends an attempt that another one replaces. */
internal class AttemptReplacedException(message: String) : IOException(message)

/** The response is incomplete, not authenticated or not valid for its request. */
internal class InvalidResponseException(message: String) : IOException(message)

/**
 * The host that relays the connection to an endpoint has failed; what the endpoint does is unknown.
 */
internal class RelayLostException(message: String) : IOException(message)

/** Whether the endpoint ended the connection; otherwise it sent nothing or a wrong answer. */
internal val IOException.isConnectionLost: Boolean
    get() = when (this) {
        is InvalidResponseException, is EventOrderException -> false
        is MalformedMessageException, is TooLongException -> false
        is EventTooLongException, is BufferBudgetException -> false
        is RelayLostException -> false
        else -> true
    }
