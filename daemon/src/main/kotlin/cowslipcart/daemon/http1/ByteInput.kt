package cowslipcart.daemon.http1

import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.availableForRead
import io.ktor.utils.io.readAvailable
import java.io.IOException

/** Where the bytes of a connection come from. Not safe for concurrent use. */
internal interface ByteInput {
    /** Whether bytes were received that [read] returns without waiting. */
    val hasBytes: Boolean

    /** Whether the connection is open and nothing waits to be read; may drop a byte otherwise. */
    fun isIdle(): Boolean

    /**
     * Reads up to [length] bytes into [buffer] from [start] on; returns their number, or -1 at the
     * end of the connection. Throws an [IOException] if the connection was reset.
     */
    suspend fun read(buffer: ByteArray, start: Int, length: Int): Int
}

/** Reads what another coroutine writes to [channel]. */
internal class ChannelInput(private val channel: ByteReadChannel) : ByteInput {
    override val hasBytes: Boolean get() = channel.availableForRead > 0

    override fun isIdle(): Boolean = !hasBytes && !channel.isClosedForRead

    override suspend fun read(buffer: ByteArray, start: Int, length: Int): Int {
        failIfReset()
        return channel.readAvailable(buffer, start, length).also { if (it < 0) failIfReset() }
    }

    private fun failIfReset() {
        channel.closedCause?.let { throw IOException("connection reset", it) }
    }
}
