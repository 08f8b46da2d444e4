package cowslipcart.core.limits

import cowslipcart.core.model.OrganisationId
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import org.junit.jupiter.api.Nested

/** Guards against limits that are exceeded, or that refuse an organisation below its limit. */
class QuotaTest {
    private val shop = OrganisationId("shop")

    @Nested
    inner class Holder {
        private val holder = createQuotaHolder()

        private fun take(tokens: Long, nowMs: Long) = holder.take(shop, tokens, 100, nowMs)

        @Test
        fun `starts from a full chunk of 5 s`() = assertEquals(500, take(9_000, 0))

        @Test
        fun `refills at the limit`() {
            take(500, 0)
            assertEquals(50, take(500, 500))
        }

        @Test
        fun `holds at most one chunk`() {
            take(500, 0)
            assertEquals(500, take(9_000, 59_000))
        }

        @Test
        fun `applies a lowered limit at once`() {
            take(0, 0)
            assertEquals(50, holder.take(shop, 9_000, 10, 0))
        }
    }

    @Nested
    inner class Client {
        private val client = createQuotaClient()

        private fun admit(costTokens: Long, nowMs: Long = 0) =
            client.admit(shop, costTokens, 100, liveHostCount = 5, nowMs)

        @Test
        fun `admits the first request on credit and asks for it`() =
            assertEquals(QuotaDecision.Admit(askTokens = 160), admit(60))

        @Test
        fun `refuses when the holder grants nothing`() {
            admit(60)
            client.onGranted(shop, 0, 0)
            assertIs<QuotaDecision.Refuse>(admit(60))
        }

        @Test
        fun `a refusal states when a retry may succeed`() {
            admit(60)
            client.onGranted(shop, 60, 0)
            assertEquals(2_000, assertIs<QuotaDecision.Refuse>(admit(40)).retryAfterMs)
        }

        @Test
        fun `admits a request larger than a chunk and refuses the next ones`() {
            client.onGranted(shop, 100, 0)
            assertIs<QuotaDecision.Admit>(admit(5_000))
            assertIs<QuotaDecision.Refuse>(admit(1))
        }

        @Test
        fun `does not ask again while an ask is under way`() {
            admit(60)
            assertEquals(QuotaDecision.Admit(0), admit(10, nowMs = 10))
        }

        @Test
        fun `uses its share of the limit while the holder does not answer`() {
            admit(100)
            client.onHolderLost(shop, 0)
            val admitted = (1..1_000L).count { admit(10, it * 10) is QuotaDecision.Admit }
            assertEquals(10, admitted)
        }
    }

    @Nested
    inner class Together {
        @Test
        fun `hosts use the whole limit and exceed it by at most three chunks`() {
            for (seed in 1..50) {
                val usedTokens = use(Random(seed), durationMs = 60_000)
                assertTrue(usedTokens in 5_700..7_500, "seed $seed: used $usedTokens tokens")
            }
        }

        /** Tokens that 4 hosts use, each with more load than its share of 100 tokens a second. */
        private fun use(random: Random, durationMs: Long): Long {
            val holder = createQuotaHolder()
            val clients = List(4) { createQuotaClient() }
            var usedTokens = 0L
            for (nowMs in 0 until durationMs step 20) {
                val client = clients.random(random)
                val cost = random.nextLong(1, 20)
                val decision = client.admit(shop, cost, 100, clients.size, nowMs)
                if (decision is QuotaDecision.Admit) usedTokens += cost
                val ask = when (decision) {
                    is QuotaDecision.Admit -> decision.askTokens
                    is QuotaDecision.Refuse -> decision.askTokens
                }
                if (ask > 0) client.onGranted(shop, holder.take(shop, ask, 100, nowMs), nowMs)
            }
            return usedTokens
        }
    }
}
