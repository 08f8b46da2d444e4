package cowslipcart.daemon.http1

import java.io.IOException

/** Sends the bytes of one side of a connection. Not safe for concurrent use. */
internal interface ByteSink {
    /**
     * Sends [bytes]; returns when the connection has taken all of them. Throws an [IOException] if
     * the connection is lost, and after a send that was cancelled, which may have sent a part.
     */
    suspend fun send(bytes: ByteArray)

    /** Ends this side of the connection after the bytes sent. */
    suspend fun finish()
}
