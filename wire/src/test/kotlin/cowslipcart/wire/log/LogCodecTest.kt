package cowslipcart.wire.log

import cowslipcart.core.claims.ClaimItem
import cowslipcart.core.claims.EpochEntry
import cowslipcart.core.claims.ProcessId
import cowslipcart.core.claims.RecordedAnswer
import cowslipcart.core.claims.RequestKey
import cowslipcart.core.config.ConfigEntry
import cowslipcart.core.model.AttemptId
import cowslipcart.core.model.Configuration
import cowslipcart.core.model.Declaration
import cowslipcart.core.model.DeclarationKey
import cowslipcart.core.model.DomainId
import cowslipcart.core.model.DrainSpec
import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.EndpointSpec
import cowslipcart.core.model.EngineRole
import cowslipcart.core.model.EngineState
import cowslipcart.core.model.Fingerprint
import cowslipcart.core.model.HostId
import cowslipcart.core.model.IncarnationId
import cowslipcart.core.model.LogOffset
import cowslipcart.core.model.OrganisationId
import cowslipcart.core.model.OrganisationSpec
import cowslipcart.core.model.PoolId
import cowslipcart.core.model.PoolKind
import cowslipcart.core.model.PoolSpec
import cowslipcart.core.model.PresetName
import cowslipcart.core.model.PresetSpec
import cowslipcart.core.model.Revision
import cowslipcart.core.model.RouteSpec
import cowslipcart.core.model.ShardId
import cowslipcart.core.model.Tier
import cowslipcart.core.model.TierPolicy
import cowslipcart.core.model.TierSpec
import cowslipcart.core.orders.OwnerEntry
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import org.junit.jupiter.api.Nested

/** Guards against log records that a host reads back with other values than were written. */
class LogCodecTest {
    private val process = ProcessId(HostId("a"), IncarnationId(7))
    private val key = RequestKey(OrganisationId("o"), "uuid", 99)
    private val declarations: List<Declaration> = listOf(
        OrganisationSpec(OrganisationId("o"), "00", Tier(0), 2.5, 100),
        OrganisationSpec(OrganisationId("p"), "01", Tier(1), 1.0, null),
        TierSpec(Tier(0), "urgent", 930, 67),
        PoolSpec(PoolId("m"), PoolKind.Model("model"), 3),
        PoolSpec(
            PoolId("s"),
            PoolKind.Service(listOf(RouteSpec("POST", "/x", false, Tier(0)))),
            1
        ),
        EndpointSpec(
            EndpointId("e"),
            PoolId("m"),
            "127.0.0.1:1",
            DomainId("d"),
            slotCount = 4,
            budgetTokens = 5,
            prefillTokensPerS = 6.5,
            decodeTokensPerS = 7.5,
            cacheTokens = 8,
            canResume = true,
            checksFencing = true,
            desired = EngineState("model", "v2", setOf("fit"), EngineRole.PREFILL)
        ),
        PresetSpec(PresetName("n"), mapOf(Tier(0) to TierPolicy(0.5, 9)), 0.25),
        DrainSpec(EndpointId("e"))
    )

    @Nested
    inner class Config {
        @Test
        fun `each kind of entry survives a round trip`() {
            val configuration = Configuration(
                Revision(4),
                declarations.associateBy { it.key },
                PresetName("n")
            )
            val entries = listOf(
                ConfigEntry.Publish(
                    Revision(3),
                    declarations,
                    declarations.map { it.key } + DeclarationKey.TierKey(Tier(2)),
                    "me"
                ),
                ConfigEntry.SwitchPreset(Revision(3), PresetName("n"), "me"),
                ConfigEntry.Checkpoint(LogOffset(5), configuration)
            )

            for (entry in entries) {
                val payload = LogCodec.encodeConfig(entry)
                assertEquals(entry, LogCodec.decodeConfig(payload).getOrNull())
            }
        }

        @Test
        fun `a truncated record is an error and not an exception`() {
            val entry = ConfigEntry.Publish(Revision(3), declarations, emptyList(), "me")
            val payload = LogCodec.encodeConfig(entry)

            for (length in 0 until payload.size) {
                assertTrue(LogCodec.decodeConfig(payload.copyOf(length)).isLeft())
            }
        }
    }

    @Nested
    inner class Owners {
        @Test
        fun `an entry survives a round trip`() {
            val entry = OwnerEntry.TakeOver(ShardId(PoolId("m"), 2), process)

            assertEquals(entry, LogCodec.decodeOwner(LogCodec.encodeOwner(entry)).getOrNull())
        }
    }

    @Nested
    inner class Claims {
        @Test
        fun `a batch survives a round trip`() {
            val items = listOf(
                ClaimItem.Claim(key, AttemptId("t"), Fingerprint("f"), process),
                ClaimItem.Release(key, AttemptId("t")),
                ClaimItem.Outcome(key, AttemptId("t"), RecordedAnswer(200, "c", null))
            )

            val payload = LogCodec.encodeClaims(items)

            assertEquals(items, LogCodec.decodeClaims(payload).getOrNull())
        }
    }

    @Nested
    inner class Epochs {
        @Test
        fun `each kind of entry survives a round trip`() {
            val epoch = EpochEntry.Epoch(2, listOf(process), 10, 20)
            val entries = listOf(
                epoch,
                EpochEntry.ExtendEpoch(2, 30),
                EpochEntry.Checkpoint(LogOffset(4), listOf(epoch))
            )

            for (entry in entries) {
                assertEquals(entry, LogCodec.decodeEpoch(LogCodec.encodeEpoch(entry)).getOrNull())
            }
        }
    }
}
