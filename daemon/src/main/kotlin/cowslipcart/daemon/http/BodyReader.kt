package cowslipcart.daemon.http

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.contentLength
import io.ktor.server.request.receiveChannel
import io.ktor.utils.io.readRemaining
import kotlinx.io.readByteArray

/** Reads request bodies of at most [maxBytes]. */
internal class BodyReader(private val maxBytes: Int) {
    /** Returns the complete body, or an error with status 413 if it is too large. */
    suspend fun read(call: ApplicationCall): Either<HttpError, ByteArray> {
        val declared = call.request.contentLength() ?: 0
        if (declared > maxBytes) return tooLarge(declared.toString())
        val bytes = call.receiveChannel().readRemaining(maxBytes + 1L).readByteArray()
        if (bytes.size > maxBytes) return tooLarge("more")
        return bytes.right()
    }

    private fun tooLarge(found: String) =
        HttpError.BadRequest("body: expected at most $maxBytes bytes, found $found", 413).left()
}
