package cowslipcart.core.node

import cowslipcart.core.config.estimateSizeBytes
import cowslipcart.core.model.ConfigFetchId
import cowslipcart.core.model.Declaration
import cowslipcart.core.model.HostId
import cowslipcart.core.model.LogOffset

/**
 * Fetches the configuration from a peer that is ahead, in parts if it is large. Parts of one
 * transfer belong to one state; if the peer's state moves on, the transfer starts again.
 */
internal class ConfigTransfer(
    private val outbox: Outbox,
    private val nextFetchId: (nowMs: Long) -> ConfigFetchId
) {
    private class Fetch(val peer: HostId, val id: ConfigFetchId, var askedAtMs: Long) {
        var tryCount = 1
        var parts: Parts? = null
    }

    private class Parts(val transferId: Long) {
        val declarations = mutableListOf<Declaration>()
        var nextIndex = 0
        var sizeBytes = 0L
    }

    private class Behind(val ownOffset: LogOffset, val sinceMs: Long)

    private var fetch: Fetch? = null
    private var behind: Behind? = null
    private var lastReadAtMs: Long? = null

    /**
     * Peer [from] is ahead of [ownOffset]. A readable log is read first: at planned size the state
     * of a peer is 4 MB, and most changes are seen in a ping before the log delivers them.
     */
    fun onPeerAhead(from: HostId, ownOffset: LogOffset, isLogReadable: Boolean, nowMs: Long) {
        if (isLogReadable) {
            if (lastReadAtMs.let { it == null || nowMs - it >= READ_INTERVAL_MS }) {
                lastReadAtMs = nowMs
                outbox.emit(NodeEffect.ReadConfigNow)
            }
            val current = behind?.takeIf { it.ownOffset == ownOffset }
                ?: Behind(ownOffset, nowMs).also { behind = it }
            if (nowMs - current.sinceMs < LOG_HEAD_START_MS) return
        }
        if (fetch != null) return
        val id = nextFetchId(nowMs)
        fetch = Fetch(from, id, nowMs)
        outbox.send(from, PeerMessage.ConfigFetch(id))
    }

    /** Peer [from] has sent its whole state. */
    fun onReply(from: HostId) {
        if (fetch?.peer == from) fetch = null
    }

    /** Takes a part; returns the whole reply with the last one. */
    fun onPart(
        from: HostId,
        part: PeerMessage.ConfigPart,
        ownOffset: LogOffset,
        nowMs: Long
    ): PeerMessage.ConfigReply? {
        val current = fetch?.takeIf { it.peer == from } ?: return null
        if (part.reply.state.nextOffset <= ownOffset) {
            // The log was faster.
            fetch = null
            return null
        }
        val parts = partsFor(current, part) ?: return null
        add(parts, part)
        if (parts.sizeBytes > MAX_STATE_BYTES || part.partCount > MAX_PARTS) {
            fetch = null
            return null
        }
        if (parts.nextIndex < part.partCount) {
            ask(current, nowMs)
            current.tryCount = 1
            return null
        }
        fetch = null
        val reply = part.reply.withDeclarations(parts.declarations)
        val isWhole = reply.state.configuration.declarations.size == part.declarationCount
        return if (isWhole) reply else null
    }

    /** Asks again for a part that did not come; after some times the fetch is given up. */
    fun tick(nowMs: Long) {
        val current = fetch ?: return
        if (nowMs - current.askedAtMs < PART_TIMEOUT_MS) return
        if (current.tryCount >= MAX_TRIES) {
            fetch = null
            return
        }
        current.tryCount++
        ask(current, nowMs)
    }

    /** Returns what [part] continues or begins; null for a repeated part. */
    private fun partsFor(fetch: Fetch, part: PeerMessage.ConfigPart): Parts? {
        val known = fetch.parts
        return when {
            part.transferId == known?.transferId -> known.takeIf { part.index == it.nextIndex }
            part.index == 0 -> Parts(part.transferId).also { fetch.parts = it }
            else -> null
        }
    }

    private fun add(parts: Parts, part: PeerMessage.ConfigPart) {
        val declarations = part.reply.state.configuration.declarations.values
        parts.declarations += declarations
        parts.sizeBytes += declarations.sumOf { estimateSizeBytes(it) }
        parts.nextIndex++
    }

    private fun ask(fetch: Fetch, nowMs: Long) {
        fetch.askedAtMs = nowMs
        val parts = fetch.parts
        val message = if (parts == null) {
            PeerMessage.ConfigFetch(fetch.id)
        } else {
            PeerMessage.ConfigPartFetch(fetch.id, parts.transferId, parts.nextIndex)
        }
        outbox.send(fetch.peer, message)
    }

    private companion object {
        const val READ_INTERVAL_MS = 200L

        /** With the next ping, a part of the 5 s in which a preset has to be in force. */
        const val LOG_HEAD_START_MS = 1_000L
        const val PART_TIMEOUT_MS = 500L
        const val MAX_TRIES = 4

        /** Four times the planned size. */
        const val MAX_STATE_BYTES = 16L * 1024 * 1024
        const val MAX_PARTS = 512
    }
}
