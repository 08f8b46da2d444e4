package cowslipcart.daemon.http1

/** Encodes message heads and chunks of bodies. */
internal object MessageWriter {
    /** Encodes the head of a request, including the empty line that ends it. */
    fun requestHead(method: String, target: String, headers: List<Header>): ByteArray =
        encode("$method $target HTTP/1.1\r\n", headers)

    /**
     * Encodes the head of a response, including the empty line that ends it. An empty [reason] is
     * replaced by the standard one for [status].
     */
    fun responseHead(status: Int, reason: String, headers: List<Header>): ByteArray =
        encode("HTTP/1.1 $status ${reason.ifEmpty { reasonOf(status) }}\r\n", headers)

    /** Encodes [bytes] as one chunk; they must not be empty, as that would end the body. */
    fun chunk(bytes: ByteArray): ByteArray =
        "${bytes.size.toString(HEX_RADIX)}\r\n".toByteArray() + bytes + CRLF

    private fun encode(firstLine: String, headers: List<Header>): ByteArray {
        val text = StringBuilder(firstLine)
        for (header in headers) {
            text.append(header.name).append(": ").append(header.value).append("\r\n")
        }
        return text.append("\r\n").toString().toByteArray(Charsets.ISO_8859_1)
    }

    private fun reasonOf(status: Int): String = REASONS[status] ?: "Status"

    /** Last chunk, which ends a chunked body. */
    val LAST_CHUNK: ByteArray = "0\r\n\r\n".toByteArray()
    private val CRLF = "\r\n".toByteArray()
    private const val HEX_RADIX = 16
    private val REASONS = mapOf(
        200 to "OK",
        400 to "Bad Request",
        401 to "Unauthorized",
        404 to "Not Found",
        408 to "Request Timeout",
        413 to "Content Too Large",
        429 to "Too Many Requests",
        431 to "Request Header Fields Too Large",
        502 to "Bad Gateway",
        503 to "Service Unavailable",
        504 to "Gateway Timeout"
    )
}
