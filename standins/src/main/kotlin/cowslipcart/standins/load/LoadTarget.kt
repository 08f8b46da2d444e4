package cowslipcart.standins.load

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import java.net.URI
import java.net.URISyntaxException

/** Refusal of a target URL. */
internal sealed interface LoadTargetError {
    data class NotHttp(val actual: String) : LoadTargetError {
        override fun toString() = "expected a URL http://ADDRESS:PORT, got $actual"
    }

    data class NotLoopback(val actual: String) : LoadTargetError {
        override fun toString() = "expected a numeric loopback address, got $actual"
    }
}

/** Base URL of a server on a loopback address, without a trailing slash. */
@JvmInline
internal value class LoadTarget private constructor(val url: String) {
    companion object {
        private val LOOPBACK_V4 = Regex("""127(\.(25[0-5]|2[0-4]\d|1\d\d|\d{1,2})){3}""")

        /** Accepts only numeric addresses, since a name may resolve to another host later. */
        fun parse(text: String): Either<LoadTargetError, LoadTarget> {
            val uri = try {
                URI(text)
            } catch (e: URISyntaxException) {
                return LoadTargetError.NotHttp(e.input).left()
            }
            val isBase = uri.path.isNullOrEmpty() || uri.path == "/"
            val hasOnlyAddress = isBase && uri.query == null && uri.userInfo == null
            if (uri.scheme != "http" || !hasOnlyAddress) {
                return LoadTargetError.NotHttp(text).left()
            }
            val host = uri.host.orEmpty()
            if (host != "[::1]" && !LOOPBACK_V4.matches(host)) {
                return LoadTargetError.NotLoopback(host).left()
            }
            return LoadTarget(text.removeSuffix("/")).right()
        }
    }
}
