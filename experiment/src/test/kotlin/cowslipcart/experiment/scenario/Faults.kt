package cowslipcart.experiment.scenario

import cowslipcart.core.capacity.RefusalReason
import cowslipcart.core.config.ConfigEntry
import cowslipcart.core.host.HostController
import cowslipcart.core.host.HostEffect
import cowslipcart.core.host.HostInput
import cowslipcart.core.host.PeerMessage
import cowslipcart.core.host.createHostController
import cowslipcart.core.membership.HostIdentity
import cowslipcart.core.model.LogOffset
import cowslipcart.core.model.RequestId
import cowslipcart.core.model.Revision
import cowslipcart.core.origin.KeyStatus
import cowslipcart.core.origin.StreamEnd
import kotlin.random.Random

/** Wraps the real control state and injects a fault that a check has to detect. */
internal abstract class FaultyController(protected val inner: HostController) :
    HostController by inner {
    /** Changes an input; null drops it. */
    protected open fun change(input: HostInput): HostInput? = input

    /** Changes an effect. */
    protected open fun change(effect: HostEffect, nowMs: Long): List<HostEffect> = listOf(effect)

    override fun handle(input: HostInput, nowMs: Long): List<HostEffect> {
        val changed = change(input) ?: return emptyList()
        return inner.handle(changed, nowMs).flatMap { change(it, nowMs) }
    }
}

/** Returns a factory that applies [wrap] to each real control state. */
internal fun faulty(wrap: (HostController) -> HostController): ControllerFactory =
    { identity: HostIdentity, random: Random -> wrap(createHostController(identity, random)) }

/** Dispatches without waiting for a claim. */
internal class WithoutClaims(inner: HostController) : FaultyController(inner) {
    override fun change(input: HostInput): HostInput = if (input is HostInput.RequestReceived) {
        HostInput.RequestReceived(input.request.copy(key = null, isIdempotent = true))
    } else {
        input
    }
}

/** Counts each request as a minimal one against the limit of its organisation. */
internal class IgnoresSize(inner: HostController) : FaultyController(inner) {
    override fun change(input: HostInput): HostInput = if (input is HostInput.RequestReceived) {
        HostInput.RequestReceived(input.request.copy(prefillTokens = 1, outputTokens = 1))
    } else {
        input
    }
}

/** Accepts grants of any age: a grant is handled with the time of the input before it. */
internal class IgnoresGrantAge(inner: HostController) : FaultyController(inner) {
    private var lastMs = 0L

    override fun handle(input: HostInput, nowMs: Long): List<HostEffect> {
        val isGrant =
            input is HostInput.PeerMessageReceived && input.message is PeerMessage.CapacityGranted
        val timeMs = if (isGrant) lastMs else nowMs
        if (!isGrant) lastMs = nowMs
        return super.handle(input, timeMs)
    }
}

/** Assumes without a query that no other host knows a key. */
internal class AnswersNotRunWithoutAsking(inner: HostController) : FaultyController(inner) {
    override fun change(effect: HostEffect, nowMs: Long): List<HostEffect> {
        val message = (effect as? HostEffect.SendPeer)?.message
        if (message !is PeerMessage.KeyQuery) return listOf(effect)
        val reply = PeerMessage.KeyReply(message.requestId, KeyStatus.UNSEEN)
        return inner.handle(HostInput.PeerMessageReceived(effect.to, reply), nowMs)
    }
}

/** Reports readiness regardless of what is missing. */
internal class AlwaysReady(inner: HostController) : FaultyController(inner) {
    override fun change(effect: HostEffect, nowMs: Long): List<HostEffect> =
        if (effect is HostEffect.PublishReadiness) {
            listOf(HostEffect.PublishReadiness(true, emptyList()))
        } else {
            listOf(effect)
        }
}

/** Treats each peer as one that has just read the log to its end. */
internal class TrustsOldLogReads(inner: HostController) : FaultyController(inner) {
    override fun change(input: HostInput): HostInput {
        if (input !is HostInput.PeerMessageReceived) return input
        return when (val message = input.message) {
            is PeerMessage.Ping -> input.copy(message = message.copy(isLogReadable = true))
            is PeerMessage.PingAck -> input.copy(message = message.copy(isLogReadable = true))
            is PeerMessage.ConfigReply -> input.copy(message = message.copy(logReadAgeMs = 0))
            else -> input
        }
    }
}

/** Drops messages for which [isDropped] holds. */
internal class DropsMessages(
    inner: HostController,
    private val isDropped: (PeerMessage) -> Boolean
) : FaultyController(inner) {
    override fun change(input: HostInput): HostInput? =
        input.takeUnless { it is HostInput.PeerMessageReceived && isDropped(it.message) }
}

/** Sheds a request when the first shard is full. */
internal class ShedsAfterOneShard(inner: HostController) : FaultyController(inner) {
    override fun change(input: HostInput): HostInput {
        val message = (input as? HostInput.PeerMessageReceived)?.message
        if (message !is PeerMessage.CapacityRefused) return input
        if (message.reason != RefusalReason.SHARD_FULL) return input
        return input.copy(message = message.copy(reason = RefusalReason.TIER_STOPPED))
    }
}

/** Treats a shard that has not answered the second ask as full. */
internal class TakesSilenceForFull(inner: HostController) : FaultyController(inner) {
    override fun change(effect: HostEffect, nowMs: Long): List<HostEffect> {
        val message = (effect as? HostEffect.SendPeer)?.message
        if (message !is PeerMessage.AskCapacity || message.askCount < 2) return listOf(effect)
        val id = message.request.requestId
        val refusal =
            PeerMessage.CapacityRefused(message.shard, id, RefusalReason.SHARD_FULL, null)
        return listOf(effect) +
            inner.handle(HostInput.PeerMessageReceived(effect.to, refusal), nowMs)
    }
}

/** Does not notice that endpoints leave. */
internal class IgnoresLeaving(inner: HostController) : FaultyController(inner) {
    override fun change(input: HostInput): HostInput = when (input) {
        is HostInput.LoadRead -> HostInput.LoadRead(input.report.copy(isLeaving = false))

        is HostInput.HostListRead ->
            HostInput.HostListRead(input.list.copy(leavingEndpoints = emptySet()))

        else -> input
    }
}

/** Cancels its streams when it shuts down. */
internal class CutsStreamsOnDrain(inner: HostController) : FaultyController(inner) {
    private val running = LinkedHashSet<RequestId>()

    override fun change(effect: HostEffect, nowMs: Long): List<HostEffect> {
        if (effect is HostEffect.Dispatch) running += effect.requestId
        return listOf(effect)
    }

    override fun handle(input: HostInput, nowMs: Long): List<HostEffect> {
        val effects = super.handle(input, nowMs)
        if (input !is HostInput.Drain) return effects
        return effects + running.map { HostEffect.CancelStream(it) }
    }
}

/** Accepts a preset regardless of the revision it is based on. */
internal class IgnoresBaseRevision(inner: HostController) : FaultyController(inner) {
    private var revision = Revision(0)

    override fun change(input: HostInput): HostInput {
        if (input !is HostInput.ConfigRead) return input
        val records = input.records.map { record ->
            val entry = record.entry
            if (entry is ConfigEntry.SwitchPreset) {
                record.copy(entry = entry.copy(baseRevision = revision)).also { step() }
            } else {
                record.also { step() }
            }
        }
        return input.copy(records = records)
    }

    private fun step() {
        revision = revision.next()
    }
}

/** Goes back to the configuration before a change when a peer sends its state. */
internal class RevertsConfiguration(inner: HostController) : FaultyController(inner) {
    private var first: HostEffect.PublishConfiguration? = null

    override fun change(effect: HostEffect, nowMs: Long): List<HostEffect> {
        if (effect !is HostEffect.PublishConfiguration) return listOf(effect)
        val earlier = first
        if (earlier == null) first = effect
        return listOfNotNull(effect, earlier)
    }
}

/** Answers questions of one organisation about requests of another. */
internal class IgnoresOrganisation(inner: HostController) : FaultyController(inner) {
    override fun change(input: HostInput): HostInput =
        if (input is HostInput.FindOutcome) input.copy(organisation = null) else input
}

/** Sends the caller a late answer after its request was rejected. */
internal class AcceptsLateAnswers(inner: HostController) : FaultyController(inner) {
    private val ended = HashSet<RequestId>()

    override fun change(effect: HostEffect, nowMs: Long): List<HostEffect> {
        if (effect is HostEffect.Reject) ended += effect.requestId
        return listOf(effect)
    }

    override fun handle(input: HostInput, nowMs: Long): List<HostEffect> {
        val effects = super.handle(input, nowMs)
        val end = (input as? HostInput.StreamEnded)?.end as? StreamEnd.Completed
        val answer = end?.answer
        if (answer == null || input.requestId !in ended) return effects
        return effects + HostEffect.Replay(input.requestId, answer)
    }
}

/** Sends a request again in place of resuming its stream. */
internal class RestartsStreams(inner: HostController) : FaultyController(inner) {
    override fun change(effect: HostEffect, nowMs: Long): List<HostEffect> =
        listOf(if (effect is HostEffect.Dispatch) effect.copy(isResume = false) else effect)
}

/** Does not read the log back after a lost acknowledgement. */
internal class ForgetsLostAppends(inner: HostController) : FaultyController(inner) {
    override fun change(input: HostInput): HostInput? =
        input.takeUnless { it is HostInput.ClaimsAppendFailed }
}

/** Reads a trimmed stream of claims as if nothing had been removed. */
internal class HidesRetention(inner: HostController) : FaultyController(inner) {
    private val shifts = HashMap<Int, Long>()

    override fun change(input: HostInput): HostInput = when (input) {
        is HostInput.ClaimsRead -> {
            val shift = shifts.getOrPut(input.partition) { input.firstKeptOffset.value }
            input.copy(
                records = input.records.map { it.copy(offset = it.offset - shift) },
                firstKeptOffset = LogOffset(0),
                endOffset = input.endOffset - shift
            )
        }

        is HostInput.ClaimsAppended ->
            input.copy(offset = input.offset - (shifts[input.partition] ?: 0))

        else -> input
    }

    override fun change(effect: HostEffect, nowMs: Long): List<HostEffect> = listOf(
        if (effect is HostEffect.ReadClaims) {
            val shift = shifts[effect.partition] ?: 0
            effect.copy(from = LogOffset(effect.from.value + shift))
        } else {
            effect
        }
    )

    private operator fun LogOffset.minus(shift: Long) = LogOffset(value - shift)
}
