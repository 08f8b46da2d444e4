package cowslipcart.core.node

import cowslipcart.core.config.ConfigState
import cowslipcart.core.config.estimateSizeBytes
import cowslipcart.core.model.Declaration
import kotlin.random.Random

/**
 * Answers hosts that ask for the configuration. One that is too large for a message is sent in
 * parts, each of which the receiver asks for, so that nothing is queued here.
 */
internal class ConfigParts(private val random: Random) {
    private class Snapshot(
        val state: ConfigState,
        val transferId: Long,
        val slices: List<List<Declaration>>
    )

    private var snapshot: Snapshot? = null

    /** Returns [reply] if it is small, else its first part. */
    fun answerFetch(reply: PeerMessage.ConfigReply): PeerMessage {
        val current = snapshotOf(reply.state)
        return if (current.slices.size <= 1) reply else partOf(reply, current, 0)
    }

    /**
     * Returns the part that [fetch] names. If the state of its transfer is no longer in force, the
     * answer is that to a new fetch.
     */
    fun answerPartFetch(
        reply: PeerMessage.ConfigReply,
        fetch: PeerMessage.ConfigPartFetch
    ): PeerMessage {
        val current = snapshotOf(reply.state)
        val isKnown =
            fetch.transferId == current.transferId && fetch.index in current.slices.indices
        return if (isKnown) partOf(reply, current, fetch.index) else answerFetch(reply)
    }

    private fun partOf(reply: PeerMessage.ConfigReply, snapshot: Snapshot, index: Int) =
        PeerMessage.ConfigPart(
            reply.withDeclarations(snapshot.slices[index]),
            snapshot.transferId,
            index,
            snapshot.slices.size,
            snapshot.state.configuration.declarations.size
        )

    private fun snapshotOf(state: ConfigState): Snapshot = snapshot?.takeIf { it.state === state }
        ?: Snapshot(state, random.nextLong(), slice(state.configuration.declarations.values))
            .also { snapshot = it }

    private fun slice(declarations: Collection<Declaration>): List<List<Declaration>> {
        val slices = mutableListOf<MutableList<Declaration>>()
        var sizeBytes = 0
        for (declaration in declarations) {
            val addedBytes = estimateSizeBytes(declaration)
            if (slices.isEmpty() || sizeBytes + addedBytes > PART_BYTES) {
                slices += mutableListOf<Declaration>()
                sizeBytes = 0
            }
            slices.last() += declaration
            sizeBytes += addedBytes
        }
        return slices
    }

    private companion object {
        /**
         * Takes less than a millisecond of the control thread to encode, and leaves much of a frame
         * to an estimate that is too low.
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
