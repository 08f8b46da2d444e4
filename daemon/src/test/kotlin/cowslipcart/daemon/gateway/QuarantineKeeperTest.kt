package cowslipcart.daemon.gateway

import arrow.core.left
import cowslipcart.core.forwarding.EndpointCrash
import cowslipcart.core.forwarding.ForwardingInput
import cowslipcart.core.forwarding.QuarantineEffect
import cowslipcart.core.forwarding.QuarantinedRequest
import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.Fingerprint
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Nested

/** Guards against a quarantine that ends when all hosts stop at once. */
@OptIn(ExperimentalCoroutinesApi::class)
class QuarantineKeeperTest {
    private val store = FailingStore()
    private val read = mutableListOf<QuarantinedRequest>()
    private val request = QuarantinedRequest(
        Fingerprint("f"),
        listOf("e1", "e2", "e3").map { EndpointCrash(EndpointId(it), 500) },
        failedProbes = 1,
        crashedAgoMs = 500,
        seenAgoMs = 0
    )

    private fun TestScope.startKeeper(): QuarantineKeeper {
        val keeper = QuarantineKeeper(followingAlone(store, NoDecoder), Random(3)) {
            read += (it as ForwardingInput.QuarantinesRead).quarantines
        }
        keeper.start(backgroundScope)
        return keeper
    }

    @Nested
    inner class Storing {
        @Test
        fun `a host that starts reads what another one stored`() = runTest {
            startKeeper().perform(QuarantineEffect.Keep(request))
            delay(SETTLE_MS)
            startKeeper()
            delay(SETTLE_MS)

            val kept = read.single()
            assertEquals(
                request.crashes.map { it.endpoint },
                kept.crashes.map { it.endpoint }
            )
            assertEquals(request.failedProbes, kept.failedProbes)
            assertTrue(kept.crashedAgoMs >= request.crashedAgoMs, "$kept")
        }

        @Test
        fun `a quarantine that has ended is removed`() = runTest {
            val keeper = startKeeper()
            keeper.perform(QuarantineEffect.Keep(request))
            keeper.perform(QuarantineEffect.Drop(request.fingerprint))
            delay(SETTLE_MS)

            assertTrue(store.records.isEmpty())
        }
    }

    @Nested
    inner class Outage {
        @Test
        fun `a quarantine is stored and read after an outage`() = runTest {
            store.failingCalls = 6
            startKeeper().perform(QuarantineEffect.Keep(request))
            delay(LONG_MS)
            assertEquals(1, store.records.size)

            read.clear()
            store.failingCalls = 6
            startKeeper()
            delay(LONG_MS)
            assertEquals(1, read.size)
        }

        /** The platform charges for calls to the store, also for those that fail. */
        @Test
        fun `the calls in a long outage are bounded`() = runTest {
            store.failingCalls = Int.MAX_VALUE
            startKeeper().perform(QuarantineEffect.Keep(request))
            delay(600_000)

            assertTrue(store.callCount < 200, "${store.callCount} calls")
        }
    }

    @Nested
    inner class OddRecords {
        @Test
        fun `a record of another writer is left out and the others are read`() = runTest {
            val odd = listOf(
                "", " ", "1", "1 2", "x 2 e1", "1 x e1", "-1 2 e1", "1 -2 e1", "1 2 ", "1 2 e1 e2",
                "1 99999999999999999999 e1", "99999999999 2 e1", "1 2 ${"e,".repeat(500)}"
            )
            for ((number, text) in odd.withIndex()) store.records["$number"] = text.toByteArray()
            store.records["f"] = QuarantineCodec.encode(request, 1_000_000)
            startKeeper()
            delay(SETTLE_MS)

            assertEquals(listOf(Fingerprint("f")), read.map { it.fingerprint })
            for (text in odd) {
                assertNull(QuarantineCodec.decode(Fingerprint("f"), text.toByteArray(), 5), text)
            }
        }

        /** Guards against a wall clock that was set back, which would give an age below 0. */
        @Test
        fun `a crash in the future counts as one of now`() {
            val encoded = QuarantineCodec.encode(request, 1_000_000)
            val decoded = QuarantineCodec.decode(Fingerprint("f"), encoded, 1_000)

            assertEquals(0, decoded?.crashedAgoMs)
        }
    }

    private companion object {
        const val SETTLE_MS = 1_000L
        const val LONG_MS = 60_000L
    }
}
