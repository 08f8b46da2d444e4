package cowslipcart.wire.peer

import cowslipcart.core.config.ConfigEntry
import cowslipcart.core.config.ConfigRecord
import cowslipcart.core.host.HostController
import cowslipcart.core.host.HostEffect
import cowslipcart.core.host.HostInput
import cowslipcart.core.host.PeerMessage
import cowslipcart.core.host.createHostController
import cowslipcart.core.membership.HostIdentity
import cowslipcart.core.membership.HostList
import cowslipcart.core.membership.ListedHost
import cowslipcart.core.model.Configuration
import cowslipcart.core.model.DomainId
import cowslipcart.core.model.HostId
import cowslipcart.core.model.IncarnationId
import cowslipcart.core.model.LogOffset
import cowslipcart.core.model.OrganisationId
import cowslipcart.core.model.OrganisationSpec
import cowslipcart.core.model.PresetName
import cowslipcart.core.model.PresetSpec
import cowslipcart.core.model.Revision
import cowslipcart.core.model.Tier
import cowslipcart.core.model.TierSpec
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import org.junit.jupiter.api.Nested

/**
 * Guards against a configuration of the planned size, 23,000 organisations, that a host cannot
 * fetch from a peer.
 */
class ConfigTransferTest {
    private val names = listOf("a", "b")
    private val controllers: Map<HostId, HostController> = names.associate {
        HostId(it) to createHostController(identity(it), Random(1))
    }
    private val deliveries = ArrayDeque<() -> Unit>()
    private val published = mutableListOf<Configuration>()
    private val frameSizes = mutableListOf<Int>()
    private var isReady = false
    private var nowMs = 0L
    private var endOffset = LogOffset(0)
    private var deliversPart: (PeerMessage.ConfigPart) -> Boolean = { true }
    private val declarations = listOf(
        TierSpec(Tier(0), "chat", 930, 67),
        PresetSpec(PresetName("ordinary"), emptyMap(), 0.1)
    ) + (0 until ORGANISATIONS).map {
        OrganisationSpec(
            OrganisationId("organisation-%05d".format(it)),
            "%064x".format(it),
            Tier(0),
            weight = 1.0,
            limitTokensPerS = 1_000
        )
    }

    init {
        val list = HostList(names.map { ListedHost(HostId(it), "$it:1", false) }, emptySet())
        read(0, ConfigEntry.Publish(Revision(0), declarations, emptyList(), "mari"))
        read(1, switchPreset(1))
        names.forEach { input(HostId(it), HostInput.HostListRead(list)) }
        input(HostId("b"), HostInput.ConfigReadFailed)
    }

    @Nested
    inner class PlannedSize {
        @Test
        fun `a host becomes ready without the log, from frames of the allowed size`() {
            advance(5_000)

            assertTrue(isReady)
            assertEquals(declarations.toSet(), published.last().declarations.values.toSet())
            assertTrue(
                frameSizes.max() <= EnvelopePeerCodec.MAX_FRAME_BYTES,
                "found ${frameSizes.max()}"
            )
        }

        @Test
        fun `a lost part is requested again`() {
            var lostCount = 0
            deliversPart = { it.index != 5 || lostCount++ > 0 }

            advance(5_000)

            assertTrue(isReady)
            assertTrue(lostCount > 1)
        }

        @Test
        fun `a configuration that changes between two parts is fetched again and never mixed`() {
            var hasChanged = false
            deliversPart = {
                if (it.index == 5 && !hasChanged) {
                    hasChanged = true
                    val changed = (declarations.last() as OrganisationSpec).copy(weight = 2.0)
                    val entry =
                        ConfigEntry.Publish(Revision(2), listOf(changed), emptyList(), "mari")
                    read(2, entry)
                }
                true
            }

            advance(5_000)

            assertEquals(Revision(3), published.last().revision)
            assertEquals(ORGANISATIONS + 2, published.last().declarations.size)
            assertEquals(1, published.size)
        }
    }

    private fun advance(durationMs: Long) = repeat((durationMs / TICK_MS).toInt()) {
        nowMs += TICK_MS
        readNothingNew()
        names.forEach { input(HostId(it), HostInput.Tick(nowMs)) }
    }

    /** Host a reads [entry] from the log. */
    private fun read(offset: Long, entry: ConfigEntry) {
        val record = ConfigRecord(LogOffset(offset), 0, entry)
        endOffset = LogOffset(offset + 1)
        handle(HostId("a"), HostInput.ConfigRead(listOf(record), LogOffset(0), endOffset, nowMs))
    }

    /** Host a reads the log to its end without a new entry. */
    private fun readNothingNew() =
        input(HostId("a"), HostInput.ConfigRead(emptyList(), LogOffset(0), endOffset, nowMs))

    /** Handles [input] and delivers all messages that follow from it. */
    private fun input(host: HostId, input: HostInput) {
        handle(host, input)
        while (true) (deliveries.removeFirstOrNull() ?: return).invoke()
    }

    private fun handle(host: HostId, input: HostInput) {
        for (effect in controllers.getValue(host).handle(input, nowMs)) perform(host, effect)
    }

    private fun perform(host: HostId, effect: HostEffect) {
        when (effect) {
            is HostEffect.SendPeer -> deliveries += { deliver(host, effect) }

            is HostEffect.PublishConfiguration ->
                if (host.value == "b") published += effect.configuration

            is HostEffect.PublishReadiness -> if (host.value == "b") isReady = effect.isReady

            else -> Unit
        }
    }

    private fun deliver(from: HostId, effect: HostEffect.SendPeer) {
        val frame = EnvelopePeerCodec.encode(from, effect.message)
        frameSizes += frame.size
        val message = checkNotNull(EnvelopePeerCodec.decode(frame).getOrNull()?.message)
        if (message is PeerMessage.ConfigPart && !deliversPart(message)) return
        if (frame.size <= EnvelopePeerCodec.MAX_FRAME_BYTES) {
            handle(effect.to, HostInput.PeerMessageReceived(from, message))
        }
    }

    private fun identity(name: String) =
        HostIdentity(HostId(name), IncarnationId(1), DomainId("d"), "$name:1")

    private fun switchPreset(base: Long) =
        ConfigEntry.SwitchPreset(Revision(base), PresetName("ordinary"), "mari")

    private companion object {
        const val ORGANISATIONS = 23_000
        const val TICK_MS = 20L
    }
}
