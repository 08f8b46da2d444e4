package cowslipcart.core.host

import cowslipcart.core.config.estimateSizeBytes
import cowslipcart.core.model.ConfigFetchId
import cowslipcart.core.model.Declaration
import cowslipcart.core.model.HostId
import cowslipcart.core.model.LogOffset

/**
 * Fetches the configuration from a peer that is ahead, in parts if it is large. All parts of a
 * transfer belong to one state; if the peer's state changes, the transfer starts again.
 */
internal class ConfigFetcher(
    private val outbox: Outbox,
    private val nextFetchId: (nowMs: Long) -> ConfigFetchId
) {
    private class Fetch(val peer: HostId, val id: ConfigFetchId, var sentAtMs: Long) {
        var attemptCount = 1
        var partial: PartialState? = null
    }

    private class PartialState(val transferId: Long) {
        val declarations = mutableListOf<Declaration>()
        var nextIndex = 0
        var sizeBytes = 0L
    }

    /** Since when the own state has not advanced although a peer is ahead. */
    private class LogStall(val ownOffset: LogOffset, val sinceMs: Long)

    private var fetch: Fetch? = null
    private var logStall: LogStall? = null
    private var lastLogReadAtMs: Long? = null

    /**
     * Starts to catch up with peer [from], which is ahead of [ownOffset]. If the log is readable,
     * this host first reads the log and fetches from the peer only if the log delivers nothing for
     * [LOG_GRACE_MS]: a state of the planned size is 4 MB, and most changes show up in a ping
     * before the log delivers them.
     */
    fun onPeerAhead(from: HostId, ownOffset: LogOffset, isLogReadable: Boolean, nowMs: Long) {
        if (isLogReadable) {
            if (lastLogReadAtMs.let { it == null || nowMs - it >= LOG_READ_INTERVAL_MS }) {
                lastLogReadAtMs = nowMs
                outbox.emit(HostEffect.ReadConfigNow)
            }
            val current = logStall?.takeIf { it.ownOffset == ownOffset }
                ?: LogStall(ownOffset, nowMs).also { logStall = it }
            if (nowMs - current.sinceMs < LOG_GRACE_MS) return
        }
        if (fetch != null) return
        val id = nextFetchId(nowMs)
        fetch = Fetch(from, id, nowMs)
        outbox.send(from, PeerMessage.ConfigFetch(id))
    }

    /** Ends the fetch from peer [from], which has sent its whole state. */
    fun onReply(from: HostId) {
        if (fetch?.peer == from) fetch = null
    }

    /** Takes a part and asks for the next one; returns the complete reply after the last one. */
    fun onPart(
        from: HostId,
        part: PeerMessage.ConfigPart,
        ownOffset: LogOffset,
        nowMs: Long
    ): PeerMessage.ConfigReply? {
        val current = fetch?.takeIf { it.peer == from } ?: return null
        if (part.reply.state.nextOffset <= ownOffset) {
            // The log has delivered this state in the meantime.
            fetch = null
            return null
        }
        val partial = partialStateFor(current, part) ?: return null
        append(partial, part)
        if (partial.sizeBytes > MAX_STATE_BYTES || part.partCount > MAX_PARTS) {
            fetch = null
            return null
        }
        if (partial.nextIndex < part.partCount) {
            sendFetch(current, nowMs)
            current.attemptCount = 1
            return null
        }
        fetch = null
        val reply = part.reply.withDeclarations(partial.declarations)
        val isWhole = reply.state.configuration.declarations.size == part.declarationCount
        return if (isWhole) reply else null
    }

    /** Repeats a fetch that timed out; abandons it after [MAX_ATTEMPTS] attempts. */
    fun tick(nowMs: Long) {
        val current = fetch ?: return
        if (nowMs - current.sentAtMs < PART_TIMEOUT_MS) return
        if (current.attemptCount >= MAX_ATTEMPTS) {
            fetch = null
            return
        }
        current.attemptCount++
        sendFetch(current, nowMs)
    }

    /**
     * Returns the state that [part] continues or starts; null for a duplicate or unexpected part.
     */
    private fun partialStateFor(fetch: Fetch, part: PeerMessage.ConfigPart): PartialState? {
        val known = fetch.partial
        return when {
            part.transferId == known?.transferId -> known.takeIf { part.index == it.nextIndex }
            part.index == 0 -> PartialState(part.transferId).also { fetch.partial = it }
            else -> null
        }
    }

    private fun append(partial: PartialState, part: PeerMessage.ConfigPart) {
        val declarations = part.reply.state.configuration.declarations.values
        partial.declarations += declarations
        partial.sizeBytes += declarations.sumOf { estimateSizeBytes(it) }
        partial.nextIndex++
    }

    private fun sendFetch(fetch: Fetch, nowMs: Long) {
        fetch.sentAtMs = nowMs
        val partial = fetch.partial
        val message = if (partial == null) {
            PeerMessage.ConfigFetch(fetch.id)
        } else {
            PeerMessage.ConfigPartFetch(fetch.id, partial.transferId, partial.nextIndex)
        }
        outbox.send(fetch.peer, message)
    }

    private companion object {
        const val LOG_READ_INTERVAL_MS = 200L

        /**
         * Time for the log to deliver a state that a peer has. It counts, with the delay until the
         * next ping, towards the 5 s within which a preset has to be in force.
         */
        const val LOG_GRACE_MS = 1_000L
        const val PART_TIMEOUT_MS = 500L
        const val MAX_ATTEMPTS = 4

        /** Four times the planned size. */
        const val MAX_STATE_BYTES = 16L * 1024 * 1024
        const val MAX_PARTS = 512
    }
}
