package cowslipcart.core.rollout

import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.HostId
import cowslipcart.core.model.IncarnationId
import cowslipcart.core.routing.RouteId

/**
 * A group of endpoints of the new version. A fault that only one group shows is a fault of an
 * endpoint and not of the version.
 */
@JvmInline
public value class CohortId(public val value: Int) {
    override fun toString(): String = value.toString()

    public companion object {
        /** All endpoints of earlier versions. */
        public val EARLIER: CohortId = CohortId(-1)

        /** Few enough for a datagram, and one faulty endpoint is an eighth of the evidence. */
        public const val COUNT: Int = 8

        /** Returns the cohort of [endpoint], the same on all hosts. */
        public fun of(endpoint: EndpointId): CohortId =
            CohortId(Math.floorMod(spread(endpoint.value), COUNT))
    }
}

/** A hash of [text] whose low bits depend on all characters. */
internal fun spread(text: String): Int {
    var hash = text.hashCode()
    hash = (hash xor (hash ushr 16)) * -0x7a143595
    hash = (hash xor (hash ushr 13)) * -0x3d4d51cb
    return hash xor (hash ushr 16)
}

/** What is counted together: the answers to one route by one cohort. */
public data class EvidenceKey(public val route: RouteId, public val cohort: CohortId)

/** Answers that were judged by one property, and those of them that were bad. */
public data class Tally(public val judged: Int = 0, public val bad: Int = 0) {
    internal operator fun plus(other: Tally) = Tally(judged + other.judged, bad + other.bad)

    internal operator fun minus(other: Tally) = Tally(judged - other.judged, bad - other.bad)

    internal fun add(isBad: Boolean) = Tally(judged + 1, if (isBad) bad + 1 else bad)
}

/** A property by which answers of two versions are compared. */
public enum class AnswerProperty {
    /** Whether the answer failed. */
    FAILURE,

    /** Whether its first part came late. */
    FIRST_PART,

    /** Whether the gaps between the events of its stream were long. */
    GAPS
}

/** Totals of the answers that one host got, since its process started. */
public data class AnswerCounts(
    public val failures: Tally = Tally(),
    public val firstParts: Tally = Tally(),
    public val gaps: Tally = Tally()
) {
    /** Returns the tally of [property]. */
    public operator fun get(property: AnswerProperty): Tally = when (property) {
        AnswerProperty.FAILURE -> failures
        AnswerProperty.FIRST_PART -> firstParts
        AnswerProperty.GAPS -> gaps
    }

    internal operator fun minus(other: AnswerCounts) = AnswerCounts(
        failures - other.failures,
        firstParts - other.firstParts,
        gaps - other.gaps
    )
}

/**
 * One answer, as its host judged it.
 *
 * @property isLate whether the first part came late; null if that can't be told
 * @property hasLongGaps whether its gaps were long; null if that can't be told
 */
internal data class JudgedAnswer(
    val isFailure: Boolean,
    val isLate: Boolean? = null,
    val hasLongGaps: Boolean? = null
)

/** Own totals of a roll-out, and how far the totals of other hosts have been counted. */
internal class RolloutEvidence {
    private class PeerTotals(
        var incarnation: IncarnationId,
        var totals: Map<EvidenceKey, AnswerCounts>
    )

    private val own = mutableMapOf<EvidenceKey, AnswerCounts>()
    private val peers = mutableMapOf<HostId, PeerTotals>()

    /** Totals of this host. */
    val ownTotals: Map<EvidenceKey, AnswerCounts> get() = own.toMap()

    /** Counts an answer of this host and returns what it adds. */
    fun addOwn(key: EvidenceKey, answer: JudgedAnswer): AnswerCounts {
        val added = AnswerCounts(
            Tally().add(answer.isFailure),
            answer.isLate?.let { Tally().add(it) } ?: Tally(),
            answer.hasLongGaps?.let { Tally().add(it) } ?: Tally()
        )
        val before = own[key] ?: AnswerCounts()
        own[key] = AnswerCounts(
            before.failures + added.failures,
            before.firstParts + added.firstParts,
            before.gaps + added.gaps
        )
        return added
    }

    /** Takes the totals of [host], in any order, and returns what is new in them. */
    fun onPeer(
        host: HostId,
        incarnation: IncarnationId,
        totals: Map<EvidenceKey, AnswerCounts>
    ): Map<EvidenceKey, AnswerCounts> {
        val known = peers[host]
        val before = known?.takeIf { it.incarnation == incarnation }?.totals.orEmpty()
        val newer = totals.filter { (key, counts) ->
            counts.failures.judged > (before[key]?.failures?.judged ?: 0)
        }
        peers[host] = PeerTotals(incarnation, before + newer)
        return newer.mapValues { (key, counts) -> counts - (before[key] ?: AnswerCounts()) }
    }
}
