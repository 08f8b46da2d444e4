package cowslipcart.core.host

import cowslipcart.core.config.ConfigState
import cowslipcart.core.config.estimateSizeBytes
import cowslipcart.core.model.Declaration
import kotlin.random.Random

/**
 * Answers hosts that fetch the configuration. A state that is too large for one message is sent in
 * parts. The receiver asks for each part, so nothing is queued on this host.
 */
internal class ConfigResponder(private val random: Random) {
    private class PartitionedState(
        val state: ConfigState,
        val transferId: Long,
        val parts: List<List<Declaration>>
    )

    private var cached: PartitionedState? = null

    /** Returns [reply] if it fits in one message, else its first part. */
    fun answerFetch(reply: PeerMessage.ConfigReply): PeerMessage {
        val current = partitionedStateOf(reply.state)
        return if (current.parts.size <= 1) reply else partAt(reply, current, 0)
    }

    /**
     * Returns the part that [fetch] asks for. If the state has changed since that transfer started,
     * returns the answer to a new fetch.
     */
    fun answerPartFetch(
        reply: PeerMessage.ConfigReply,
        fetch: PeerMessage.ConfigPartFetch
    ): PeerMessage {
        val current = partitionedStateOf(reply.state)
        val isKnown =
            fetch.transferId == current.transferId && fetch.index in current.parts.indices
        return if (isKnown) partAt(reply, current, fetch.index) else answerFetch(reply)
    }

    private fun partAt(reply: PeerMessage.ConfigReply, state: PartitionedState, index: Int) =
        PeerMessage.ConfigPart(
            reply.withDeclarations(state.parts[index]),
            state.transferId,
            index,
            state.parts.size,
            state.state.configuration.declarations.size
        )

    private fun partitionedStateOf(state: ConfigState): PartitionedState =
        cached?.takeIf { it.state === state }
            ?: PartitionedState(
                state,
                random.nextLong(),
                splitIntoParts(state.configuration.declarations.values)
            )
                .also { cached = it }

    private fun splitIntoParts(declarations: Collection<Declaration>): List<List<Declaration>> {
        val parts = mutableListOf<MutableList<Declaration>>()
        var sizeBytes = 0
        for (declaration in declarations) {
            val addedBytes = estimateSizeBytes(declaration)
            if (parts.isEmpty() || sizeBytes + addedBytes > PART_BYTES) {
                parts += mutableListOf<Declaration>()
                sizeBytes = 0
            }
            parts.last() += declaration
            sizeBytes += addedBytes
        }
        return parts
    }

    private companion object {
        /**
         * A part of this size is encoded on the control thread in less than a millisecond. It stays
         * far below the frame limit, in case the size estimate is too low.
         */
        const val PART_BYTES = 64 * 1024
    }
}

/** Returns this reply with only [declarations] in its state. */
internal fun PeerMessage.ConfigReply.withDeclarations(
    declarations: List<Declaration>
): PeerMessage.ConfigReply {
    val content = state.configuration.copy(declarations = declarations.associateBy { it.key })
    return copy(state = state.copy(configuration = content))
}
