package cowslipcart.daemon.gateway

import cowslipcart.core.model.HostId
import cowslipcart.core.model.IncarnationId
import cowslipcart.wire.figures.RelayedFigures

/**
 * Figures that a relay passes on between its group and the others: of each host the newest ones,
 * once. Thread-safe, since one coroutine receives figures and another one sends them.
 */
internal class RelayBuffer {
    private class Seen(val incarnation: IncarnationId, val sequence: Long)

    private val seen = mutableMapOf<HostId, Seen>()
    private val ofGroup = LinkedHashMap<HostId, RelayedFigures>()
    private val ofOthers = LinkedHashMap<HostId, RelayedFigures>()

    /** Takes figures that a host of the group sent. */
    @Synchronized
    fun onDirect(figures: RelayedFigures) {
        ofGroup[figures.host] = figures
    }

    /** Takes figures that a relay passed on. Returns false if they have been here before. */
    @Synchronized
    fun onRelayed(figures: RelayedFigures): Boolean {
        val last = seen[figures.host]
        val isKnown = last != null && last.incarnation == figures.incarnation &&
            last.sequence >= figures.sequence
        if (isKnown) return false
        seen[figures.host] = Seen(figures.incarnation, figures.sequence)
        ofOthers[figures.host] = figures
        return true
    }

    /** Removes and returns the figures of the group that were not passed on yet. */
    @Synchronized
    fun takeOfGroup(): List<RelayedFigures> = ofGroup.values.toList().also { ofGroup.clear() }

    /** Removes and returns the figures of other groups that were not passed on yet. */
    @Synchronized
    fun takeOfOthers(): List<RelayedFigures> = ofOthers.values.toList().also { ofOthers.clear() }
}
