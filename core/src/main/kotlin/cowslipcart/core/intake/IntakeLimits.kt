package cowslipcart.core.intake

/**
 * Bounds on what the callers of one host may make it hold.
 *
 * @property requestBytes memory of all requests, from their heads to the end of their answers
 * @property smallBytes a request that holds no more than this is small
 * @property largeRequestBytes part of [requestBytes] that the requests over [smallBytes] may hold
 * @property clientBytes what one client may hold while another one waits for room
 * @property responseBytes memory of the answers of endpoints, until their callers have them
 * @property maxConnections open connections of callers
 * @property minBytesPerS a request that arrives more slowly is stalled, and yields when room is
 * short
 * @property stallGraceMs silence that is allowed at any rate
 * @property maxWaitMs time that a request waits for room before one of those that wait is refused
 * @property discardBytes what a refused caller may send on before its connection is closed
 */
public data class IntakeLimits(
    public val requestBytes: Long,
    public val smallBytes: Long,
    public val largeRequestBytes: Long,
    public val clientBytes: Long,
    public val responseBytes: Long,
    public val maxConnections: Int,
    public val minBytesPerS: Long = MIN_BYTES_PER_S,
    public val stallGraceMs: Long = STALL_GRACE_MS,
    public val maxWaitMs: Long = MAX_WAIT_MS,
    public val discardBytes: Long = DISCARD_BYTES
) {
    /** Returns what is wrong with the limits, or null if they can be used. */
    public fun fault(): String? = when {
        smallBytes < MIN_SMALL_BYTES ->
            "expected $MIN_SMALL_BYTES bytes or more for a small request, found $smallBytes"

        largeRequestBytes < smallBytes || requestBytes < largeRequestBytes ->
            "expected a small request <= large requests <= all requests, " +
                "found $smallBytes, $largeRequestBytes and $requestBytes bytes"

        clientBytes < smallBytes ->
            "expected a share of a client of $smallBytes bytes or more, found $clientBytes"

        responseBytes < smallBytes ->
            "expected $smallBytes bytes or more for answers, found $responseBytes"

        maxConnections < 1 -> "expected one connection or more, found $maxConnections"

        minBytesPerS < 1 || stallGraceMs < 1 || maxWaitMs < 0 || discardBytes < 0 ->
            "expected a rate, times and bytes that are not negative"

        else -> null
    }

    public companion object {
        /** A caller on a poor mobile link sends several times as much. */
        private const val MIN_BYTES_PER_S = 8_192L

        /** Longer than the resending of two lost packets in a row. */
        private const val STALL_GRACE_MS = 1_000L

        /** Callers give up a request that is not read within a second. */
        private const val MAX_WAIT_MS = 700L

        /** A body of the largest size, so that its caller gets to read the refusal. */
        private const val DISCARD_BYTES = 4L * 1_024 * 1_024

        /** The smallest buffers of a connection and of a body. */
        private const val MIN_SMALL_BYTES = 16_384L
        private const val MAX_SMALL_BYTES = 131_072L
        private const val SMALL_PER_HOST = 64

        /** Shares of the heap, in ninths; the rest is for tables and for what is being parsed. */
        private const val NINTHS = 9L
        private const val REQUEST_NINTHS = 3L
        private const val RESPONSE_NINTHS = 2L
        private const val CONNECTION_NINTHS = 1L

        /** An eighth of the room for requests is kept for small ones. */
        private const val EIGHTHS = 8L
        private const val LARGE_EIGHTHS = 7L

        /** Objects, buffers and coroutines of one idle connection on the heap. */
        private const val CONNECTION_HEAP_BYTES = 8_192L

        /** What the kernel holds for one connection that sends faster than it is read. */
        private const val CONNECTION_KERNEL_BYTES = 131_072L

        /** Code, classes, stacks and direct buffers of the process. */
        private const val OUTSIDE_HEAP_BYTES = 136L * 1_024 * 1_024

        /** Descriptors that the platform keeps for files. */
        private const val FILE_DESCRIPTORS = 200

        /** A request in work has a connection to its endpoint too. */
        private const val DESCRIPTORS_PER_CALLER = 2

        /** Soft limit of descriptors of a process where none is stated. */
        private const val DEFAULT_DESCRIPTORS = 1_024
        private const val MIN_CONNECTIONS = 16L

        /**
         * Returns the limits for a process with a heap of [heapBytes] on a machine that gives it
         * [memoryBytes] and [maxDescriptors]; null where that is not known.
         */
        public fun of(
            heapBytes: Long,
            memoryBytes: Long? = null,
            maxDescriptors: Int? = null
        ): IntakeLimits {
            val usableBytes = minOf(heapBytes, memoryBytes ?: heapBytes)
            val requestBytes = usableBytes * REQUEST_NINTHS / NINTHS
            val smallBytes = (requestBytes / SMALL_PER_HOST).coerceIn(
                MIN_SMALL_BYTES,
                MAX_SMALL_BYTES
            )
            val descriptors = (maxDescriptors ?: DEFAULT_DESCRIPTORS) - FILE_DESCRIPTORS
            val byHeap = usableBytes * CONNECTION_NINTHS / NINTHS / CONNECTION_HEAP_BYTES
            val byMemory = memoryBytes
                ?.let { (it - usableBytes - OUTSIDE_HEAP_BYTES) / CONNECTION_KERNEL_BYTES }
                ?: byHeap
            val byDescriptors = (descriptors / DESCRIPTORS_PER_CALLER).toLong()
            return IntakeLimits(
                requestBytes = requestBytes,
                smallBytes = smallBytes,
                largeRequestBytes = requestBytes * LARGE_EIGHTHS / EIGHTHS,
                clientBytes = requestBytes / 2,
                responseBytes = usableBytes * RESPONSE_NINTHS / NINTHS,
                maxConnections = minOf(byDescriptors, byHeap, byMemory)
                    .coerceAtLeast(MIN_CONNECTIONS).toInt()
            )
        }
    }
}
