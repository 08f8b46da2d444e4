package cowslipcart.daemon.http1

/**
 * Body of a request in the [pieces] in which it was read, so that it needs no second copy. The
 * pieces are full.
 */
internal class RequestBody(val pieces: List<ByteArray>) {
    /** Size of the whole body in bytes. */
    val size: Int = pieces.sumOf { it.size }
}

/** Memory for what a peer sends. */
internal interface BufferAccount {
    /** Reserves [bytes]; waits for room. Throws an IOException if there will be none. */
    suspend fun reserve(bytes: Int)

    /** Reserves [bytes] if there is room now. */
    fun tryReserve(bytes: Int): Boolean

    /** Gives back [bytes]. */
    fun giveBack(bytes: Int)

    /** Notes that [bytes] have arrived. */
    fun received(bytes: Int)
}
