package cowslipcart.daemon.http1

/** One header line. */
public data class Header(public val name: String, public val value: String)

/** Header lines in their original order; names are case-insensitive. */
public class Headers(public val lines: List<Header>) {
    /** Returns the value of the first line named [name], or null if there is none. */
    public operator fun get(name: String): String? =
        lines.firstOrNull { it.name.equals(name, ignoreCase = true) }?.value

    /** Returns the values of all lines named [name], in order. */
    public fun all(name: String): List<String> =
        lines.filter { it.name.equals(name, ignoreCase = true) }.map { it.value }

    /** Whether a comma-separated header [name] contains [token], ignoring case. */
    public fun hasToken(name: String, token: String): Boolean = all(name).any { value ->
        value.split(',').any { it.trim().equals(token, ignoreCase = true) }
    }
}

/** Request line and headers. [target] is not decoded. */
public class RequestHead(
    public val method: String,
    public val target: String,
    public val headers: Headers
) {
    /** Path of the target, without the query. */
    public val path: String get() = target.substringBefore('?')
}

/** Status line and headers of a response. */
public class ResponseHead(
    public val status: Int,
    public val reason: String,
    public val headers: Headers
)

/** Lower-case names of the headers that concern one connection and are not forwarded. */
public val HOP_BY_HOP_HEADERS: Set<String> = setOf(
    "connection", "keep-alive", "proxy-connection", "transfer-encoding", "content-length", "te",
    "trailer", "upgrade", "expect"
)
