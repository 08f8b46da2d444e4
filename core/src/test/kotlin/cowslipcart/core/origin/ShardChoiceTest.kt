package cowslipcart.core.origin

import cowslipcart.core.capacity.RefusalReason
import cowslipcart.core.model.RequestId
import cowslipcart.core.model.ShardId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import org.junit.jupiter.api.Nested

/** Guards against sessions and shared prompts that are spread over several shards' caches. */
class ShardChoiceTest {
    private var requestCount = 0

    /** Returns the shards in the order in which a request asks them if each refuses. */
    private fun shardsOf(
        session: String? = null,
        prefix: List<Long> = emptyList(),
        organisation: String = "org"
    ): List<ShardId> {
        val fixture = OriginFixture(shardCount = 8)
        val id = RequestId("r${requestCount++}")
        val request = fixture
            .request(id = id, organisation = organisation, session = session, prefix = prefix)
        var asked = fixture.start(request).filterIsInstance<OriginEffect.SendAsk>()
        return buildList {
            while (asked.isNotEmpty()) {
                val shard = asked.single().shard.also { add(it) }
                asked = fixture.origin.onRefused(shard, id, RefusalReason.SHARD_FULL, 500, 1)
                    .filterIsInstance<OriginEffect.SendAsk>()
            }
        }
    }

    private fun firstShards(ask: (Long) -> List<ShardId>) = (0L..40L).map {
        ask(it).first()
    }.toSet()

    @Nested
    inner class Session {
        @Test
        fun `requests of one session ask the shards in the same order`() {
            val orders = firstShards { shardsOf(session = "s", prefix = listOf(it)) }
            assertEquals(1, orders.size)
            assertEquals(shardsOf("s", listOf(1)), shardsOf("s", listOf(2)))
            assertEquals(8, shardsOf("s").toSet().size)
        }

        @Test
        fun `sessions are spread, even if organisations use the same session name`() {
            assertTrue(firstShards { shardsOf(session = "s$it") }.size > 4)
            assertTrue(firstShards { shardsOf(session = "s", organisation = "o$it") }.size > 4)
        }
    }

    @Nested
    inner class Prefix {
        @Test
        fun `without a session the first prefix block decides`() {
            assertEquals(1, firstShards { shardsOf(prefix = listOf(7, it)) }.size)
            assertTrue(firstShards { shardsOf(prefix = listOf(it)) }.size > 4)
        }
    }
}
