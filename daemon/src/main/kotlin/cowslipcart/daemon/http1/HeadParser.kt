package cowslipcart.daemon.http1

import java.io.IOException

/** The bytes are not a valid HTTP/1.1 message. */
internal class MalformedMessageException(message: String) : IOException(message)

/**
 * Strict parser of message heads. Rejects everything that two parsers could interpret differently,
 * which prevents request smuggling.
 */
internal object HeadParser {
    /**
     * Parses the head of a request, without its empty last line. Throws
     * [MalformedMessageException] if it is not valid.
     */
    fun parseRequest(bytes: ByteArray): RequestHead {
        val lines = splitLines(bytes)
        val parts = lines.first().split(' ')
        if (parts.size != 3 || !isToken(parts[0])) malformed("request line")
        val (method, target, version) = parts
        if (!target.startsWith('/') || target.any { it <= ' ' || it.code >= DEL }) {
            malformed("target")
        }
        if (version != "HTTP/1.1" && version != "HTTP/1.0") malformed("version")
        return RequestHead(method, target, parseHeaders(lines))
    }

    /**
     * Parses the head of a response, without its empty last line. Throws
     * [MalformedMessageException] if it is not valid.
     */
    fun parseResponse(bytes: ByteArray): ResponseHead {
        val lines = splitLines(bytes)
        val parts = lines.first().split(' ', limit = 3)
        if (parts.size < 2 || !parts[0].startsWith("HTTP/1.")) malformed("status line")
        val status = parts[1].takeIf { it.length == STATUS_LENGTH }?.toIntOrNull()
        if (status == null || status !in MIN_STATUS..MAX_STATUS) malformed("status")
        return ResponseHead(status, parts.getOrElse(2) { "" }, parseHeaders(lines))
    }

    /** Returns the framing of the body that follows [head]. */
    fun requestFraming(head: RequestHead): BodyFraming =
        declaredFraming(head.headers) ?: BodyFraming.Length(0)

    /** Returns the framing of the body that follows [head], the response to a [method] request. */
    fun responseFraming(head: ResponseHead, method: String): BodyFraming {
        val hasNoBody = method == "HEAD" || head.status in INFORMATIONAL ||
            head.status == NO_CONTENT || head.status == NOT_MODIFIED
        if (hasNoBody) return BodyFraming.Length(0)
        return declaredFraming(head.headers) ?: BodyFraming.UntilClose
    }

    private fun declaredFraming(headers: Headers): BodyFraming? {
        val lengths = headers.all("Content-Length")
        val encodings = headers.all("Transfer-Encoding")
        if (lengths.size + encodings.size > 1) malformed("two statements of the length")
        if (encodings.isNotEmpty()) {
            if (!encodings[0].equals("chunked", ignoreCase = true)) malformed("transfer encoding")
            return BodyFraming.Chunked
        }
        val length = lengths.firstOrNull() ?: return null
        if (length.length !in 1..MAX_LENGTH_DIGITS || length.any { it !in '0'..'9' }) {
            malformed("length")
        }
        return BodyFraming.Length(length.toLong())
    }

    private fun splitLines(bytes: ByteArray): List<String> {
        val text = String(bytes, Charsets.ISO_8859_1)
        val lines = text.split("\r\n")
        if (lines.any { line -> line.any { it == '\r' || it == '\n' || it == '\u0000' } }) {
            malformed("line end")
        }
        return lines
    }

    private fun parseHeaders(lines: List<String>): Headers =
        Headers(lines.drop(1).map { parseHeader(it) })

    private fun parseHeader(line: String): Header {
        val colon = line.indexOf(':')
        if (colon <= 0 || !isToken(line.substring(0, colon))) malformed("header name")
        val value = line.substring(colon + 1).trim(' ', '\t')
        if (value.any { (it < ' ' && it != '\t') || it.code == DEL }) malformed("header value")
        return Header(line.substring(0, colon), value)
    }

    private fun isToken(text: String): Boolean =
        text.isNotEmpty() && text.all { it in 'a'..'z' || it in 'A'..'Z' || it in TOKEN_EXTRAS }

    private fun malformed(part: String): Nothing =
        throw MalformedMessageException("malformed $part")

    private const val TOKEN_EXTRAS = "0123456789!#$%&'*+-.^_`|~"
    private const val DEL = 0x7f
    private const val STATUS_LENGTH = 3
    private const val MIN_STATUS = 100
    private const val MAX_STATUS = 599
    private const val NO_CONTENT = 204
    private const val NOT_MODIFIED = 304

    /** Longer numbers do not fit into a Long. */
    private const val MAX_LENGTH_DIGITS = 18
    private val INFORMATIONAL = 100..199
}

/** How the end of a message body is determined. */
internal sealed interface BodyFraming {
    /** The body has [bytes] bytes. */
    data class Length(val bytes: Long) : BodyFraming

    /** The body is a sequence of chunks. */
    data object Chunked : BodyFraming

    /** The body ends with the connection. */
    data object UntilClose : BodyFraming
}
