package cowslipcart.core.rollout

import cowslipcart.core.model.HostId
import cowslipcart.core.model.IncarnationId
import cowslipcart.core.model.LogOffset

/**
 * What one host tells all others of an unfinished roll-out. All figures are present values or
 * totals, so a later notice makes up for a lost one.
 *
 * @property orderAgeMs time since the first host saw the order, as far as the sender knows
 * @property stored newest record that the sender knows; null if there is none
 * @property knownAgeMs age of the knowledge that [stored] is the newest record
 * @property earlierRunning requests of the sender at endpoints of earlier versions
 * @property stopReason why the sender takes the version for bad; null if it doesn't
 * @property totals answers that the sender got since its process started
 */
public data class RolloutNotice(
    public val host: HostId,
    public val incarnation: IncarnationId,
    public val order: RolloutOrder,
    public val orderAgeMs: Long,
    public val stored: StoredRollout?,
    public val knownAgeMs: Long,
    public val earlierRunning: Int,
    public val stopReason: String?,
    public val totals: Map<EvidenceKey, AnswerCounts>
)

/** News of roll-outs for the control thread. */
public sealed interface RolloutChange {
    /** The operator has given an order. */
    public data class Ordered(public val order: RolloutOrder) : RolloutChange

    /**
     * This host has read the table of records up to [end]; it was current at [asOfMs]. [changed]
     * has the records that are new to this host, in the order of the table.
     */
    public data class TableRead(
        public val changed: List<StoredRollout>,
        public val end: LogOffset,
        public val asOfMs: Long
    ) : RolloutChange

    /** Another host has sent a notice. */
    public data class Noticed(public val notice: RolloutNotice) : RolloutChange

    /** The store refused a record, or did not answer; it may have been written nevertheless. */
    public data class WriteFailed(public val record: RolloutRecord, public val reason: String) :
        RolloutChange
}

/** A decision on roll-outs, to be carried out by the caller. */
public sealed interface RolloutEffect {
    /** Write [record] if the table still ends at [expectedEnd]. */
    public data class Write(public val record: RolloutRecord, public val expectedEnd: LogOffset) :
        RolloutEffect

    /** Send [notice] to all other hosts. */
    public data class Send(public val notice: RolloutNotice) : RolloutEffect

    /** Read the table of records now. */
    public data object Read : RolloutEffect

    /** Follow the table of records from now on, or stop doing so. */
    public data class Follow(public val isActive: Boolean) : RolloutEffect

    /** Log a change of the roll-out of the pool [subject]. */
    public data class Log(
        public val subject: String,
        public val change: String,
        public val reason: String
    ) : RolloutEffect
}
