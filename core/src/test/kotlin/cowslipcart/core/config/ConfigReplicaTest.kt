package cowslipcart.core.config

import cowslipcart.core.model.Configuration
import cowslipcart.core.model.LogOffset
import cowslipcart.core.model.PresetName
import cowslipcart.core.model.Revision
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertIs
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue
import org.junit.jupiter.api.Nested

/** Guards against replicas that disagree, go back or apply a change that they must reject. */
class ConfigReplicaTest {
    private val replica = createConfigReplica()
    private val start = LogOffset(0)

    private fun apply(vararg records: ConfigRecord) = replica.apply(records.toList(), start)

    private fun switch(base: Long, name: String, author: String = "mari") =
        ConfigEntry.SwitchPreset(Revision(base), PresetName(name), author)

    @Nested
    inner class RacingOperators {
        @Test
        fun `a conflict names the author of the winning change`() {
            val verdicts = apply(
                record(0, publish(0, chatTier, author = "mari")),
                record(1, publish(0, draftsPool, author = "joe"))
            )

            assertEquals(ConfigVerdict.Accepted(LogOffset(0), Revision(1), "mari"), verdicts[0])
            assertEquals(
                ConfigVerdict.Conflict(LogOffset(1), Revision(0), Revision(1), "mari"),
                verdicts[1]
            )
        }

        @Test
        fun `a conflict names the author of the revision after the base, not the latest one`() {
            val verdicts = apply(
                record(0, publish(0, chatTier, author = "mari")),
                record(1, publish(1, draftsPool, author = "joe")),
                record(2, publish(0, ordinary, author = "ann"))
            )

            assertEquals("mari", assertIs<ConfigVerdict.Conflict>(verdicts[2]).winnerAuthor)
        }

        @Test
        fun `applies a repeated append once`() {
            apply(record(0, publish(0, chatTier)), record(1, publish(0, chatTier)))

            assertEquals(Revision(1), replica.state.configuration.revision)
        }

        @Test
        fun `rejects a base revision that does not exist yet`() {
            assertIs<ConfigVerdict.Invalid>(apply(record(0, publish(3, chatTier))).single())
        }
    }

    @Nested
    inner class Presets {
        @Test
        fun `rejects a switch to an undeclared preset`() {
            val verdicts = apply(record(0, switch(0, "peak")))

            assertIs<ConfigVerdict.Invalid>(verdicts.single())
            assertNull(replica.state.configuration.presetInForce)
        }

        @Test
        fun `rejects the deletion of the preset in force`() {
            val delete = publish(2).copy(deletes = listOf(ordinary.key))
            val verdicts = apply(
                record(0, publish(0, chatTier, ordinary)),
                record(1, switch(1, "ordinary")),
                record(2, delete)
            )

            assertIs<ConfigVerdict.Invalid>(verdicts[2])
        }
    }

    @Nested
    inner class Offsets {
        @Test
        fun `skips records that it has applied`() {
            apply(record(0, publish(0, chatTier)))

            assertEquals(emptyList(), apply(record(0, publish(0, draftsPool))))
        }

        @Test
        fun `an unreadable record does not stop the stream`() {
            val unreadable = ConfigRecord(start, appendedAtMs = 0, entry = null)

            val verdicts = apply(unreadable, record(1, publish(0, chatTier)))

            assertIs<ConfigVerdict.Invalid>(verdicts[0])
            assertIs<ConfigVerdict.Accepted>(verdicts[1])
        }

        @Test
        fun `applies the rest of a page of which it has applied a part`() {
            val first = record(0, publish(0, chatTier))
            apply(first)

            assertEquals(1, apply(first, record(1, publish(1, draftsPool))).size)
        }

        @Test
        fun `does not apply records after a gap that was not trimmed`() {
            assertEquals(emptyList(), apply(record(1, publish(0, chatTier))))
            assertEquals(start, replica.readFrom)
        }
    }

    @Nested
    inner class Checkpoints {
        private val kept = Configuration(Revision(7), mapOf(chatTier.key to chatTier), null)

        private fun checkpoint(throughOffset: Long) =
            ConfigEntry.Checkpoint(LogOffset(throughOffset), kept)

        @Test
        fun `starts from the first valid checkpoint after a trim`() {
            val records = listOf(
                record(4, publish(0, draftsPool)),
                record(5, checkpoint(4)),
                record(6, checkpoint(6)),
                record(7, publish(7, draftsPool))
            )
            replica.apply(records, firstKeptOffset = LogOffset(4))

            assertEquals(LogOffset(8), replica.state.nextOffset)
            assertEquals(setOf(chatTier.key, draftsPool.key), keys())
        }

        @Test
        fun `reads on while it looks for a checkpoint`() {
            replica.apply(listOf(record(4, publish(0, chatTier))), LogOffset(4))

            assertEquals(LogOffset(5), replica.readFrom)
            assertEquals(start, replica.state.nextOffset)
        }

        @Test
        fun `ignores the content of a checkpoint when it has the records`() {
            apply(record(0, publish(0, draftsPool)), record(1, checkpoint(1)))

            assertEquals(setOf(draftsPool.key), keys())
        }

        @Test
        fun `proposes a checkpoint when a third of the retention has passed`() {
            apply(record(0, publish(0, chatTier), appendedAtMs = 100))

            assertNull(replica.checkpointIfDue(logNowMs = 400, retentionMs = 900))
            assertEquals(
                LogOffset(1),
                assertNotNull(replica.checkpointIfDue(401, 900)).throughOffset
            )
        }

        @Test
        fun `proposes no checkpoint after a recent one`() {
            apply(record(0, publish(0, chatTier), appendedAtMs = 100))
            apply(record(1, checkpoint(1), appendedAtMs = 500))

            assertNull(replica.checkpointIfDue(logNowMs = 600, retentionMs = 900))
        }

        private fun keys() = replica.state.configuration.declarations.keys
    }

    @Nested
    inner class Adoption {
        private val peerState = ConfigState(LogOffset(5), configurationOf(chatTier))

        @Test
        fun `adopts a newer state`() {
            assertTrue(replica.adopt(peerState))
            assertEquals(peerState, replica.state)
        }

        @Test
        fun `does not adopt an older state`() {
            replica.adopt(peerState)

            assertFalse(replica.adopt(ConfigState(LogOffset(4), Configuration.EMPTY)))
        }

        /** Guards against an operator who never gets the result of an accepted change. */
        @Test
        fun `still returns verdicts of the records that adoption skipped`() {
            apply(record(0, publish(0, chatTier)))
            replica.adopt(peerState)

            val verdicts = apply(record(1, publish(1, draftsPool)), record(2, publish(1, peak)))

            assertEquals(ConfigVerdict.Accepted(LogOffset(1), Revision(2), "mari"), verdicts[0])
            assertIs<ConfigVerdict.Conflict>(verdicts[1])
            assertEquals(peerState, replica.state)
        }

        @Test
        fun `proposes a checkpoint, as the age of the records is not known`() {
            replica.adopt(peerState)

            assertNotNull(replica.checkpointIfDue(logNowMs = 0, retentionMs = 900))
        }
    }
}
