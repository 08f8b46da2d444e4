package cowslipcart.standins.engine

import cowslipcart.core.model.LogOffset
import cowslipcart.core.model.PrefixBlock
import cowslipcart.core.model.RequestId
import cowslipcart.core.model.Revision
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue
import org.junit.jupiter.api.Nested

/** Guards against a model whose times, caching or stream state differ from its settings. */
class EngineModelTest {
    /** A step lasts 10 ms, plus 1 ms a decoding request, plus 0.1 ms a prompt token. */
    private val settings = EngineSettings(
        baseStepUs = 10_000,
        sequenceStepUs = 1_000,
        prefillTokenUs = 100,
        prefillTokensPerStep = 100,
        cacheTokens = 640,
        cacheEventLossRate = 0.0
    )
    private val engine = createEngineModel(settings)

    private fun request(id: String, prompt: Int, output: Int, chain: Long = 0) = EngineRequest(
        RequestId(id),
        prompt,
        output,
        List(if (chain == 0L) 0 else prompt / 64) { PrefixBlock(chain * 1_000 + it) }
    )

    private fun EngineModel.runToIdle(): List<EngineEvent> = buildList {
        while (true) addAll(advance(nextEventMs ?: break))
    }

    private fun List<EngineEvent>.tokens(id: String) =
        filterIsInstance<EngineEvent.Token>().filter { it.requestId.value == id }

    private fun List<EngineEvent>.finish(id: String) =
        filterIsInstance<EngineEvent.Finished>().single { it.requestId.value == id }

    @Nested
    inner class Batching {
        @Test
        fun `reads a prompt within the budget of each step`() {
            engine.submit(request("a", prompt = 250, output = 1), 0)

            // Two full steps of 20 ms and one of 15 ms.
            assertEquals(listOf(55L), engine.runToIdle().tokens("a").map { it.atMs })
        }

        @Test
        fun `a larger batch makes steps longer`() {
            engine.submit(request("a", prompt = 1, output = 3), 0)
            engine.submit(request("b", prompt = 1, output = 3), 0)

            val times = engine.runToIdle().tokens("a").map { it.atMs }

            // b was submitted during the first step of a: 10.1 + 11.1 + 12 ms.
            assertEquals(listOf(11L, 22L, 34L), times)
        }

        @Test
        fun `sequence numbers of concurrent streams have no gap`() {
            repeat(5) { engine.submit(request("r$it", prompt = 70, output = 20), it.toLong()) }

            val events = engine.runToIdle()

            repeat(5) {
                assertEquals((0..19).toList(), events.tokens("r$it").map { t -> t.sequence })
            }
        }

        @Test
        fun `one late call gives the same events as a call at each event`() {
            val other = createEngineModel(settings)
            for (model in listOf(engine, other)) {
                model.submit(request("a", prompt = 300, output = 10), 0)
                model.submit(request("b", prompt = 30, output = 5), 0)
            }

            assertEquals(engine.runToIdle(), other.advance(10_000))
        }

        @Test
        fun `a slow-down changes the step in progress`() {
            engine.submit(request("a", prompt = 100, output = 1), 0)

            engine.setSlowFactor(3.0, 10)

            assertEquals(40, engine.nextEventMs)
        }

        @Test
        fun `refuses a second stream with a running id`() {
            engine.submit(request("a", prompt = 1, output = 1), 0)

            assertEquals(
                EngineError.AlreadyRunning(RequestId("a")),
                engine.submit(request("a", prompt = 1, output = 1), 1).leftOrNull()
            )
        }
    }

    @Nested
    inner class Caching {
        @Test
        fun `a repeated prefix is not read again`() {
            engine.submit(request("a", prompt = 200, output = 1, chain = 1), 0)
            engine.runToIdle()
            engine.submit(request("b", prompt = 200, output = 1, chain = 1), 1_000)

            val finish = engine.runToIdle().finish("b")

            assertEquals(192, finish.cachedTokens)
            assertEquals(1_011, finish.atMs)
        }

        @Test
        fun `the end of the least recently used chain is evicted first`() {
            engine.submit(request("a", prompt = 512, output = 1, chain = 1), 0)
            engine.runToIdle()
            engine.submit(request("b", prompt = 256, output = 1, chain = 2), 1_000)
            engine.runToIdle()
            engine.submit(request("c", prompt = 512, output = 1, chain = 1), 2_000)

            // 10 blocks fit: 4 of b, and 6 of the 8 of a.
            assertEquals(6 * 64, engine.runToIdle().finish("c").cachedTokens)
        }

        @Test
        fun `cache events come late`() {
            engine.submit(request("a", prompt = 64, output = 1, chain = 1), 0)
            val storedMs = engine.runToIdle().last().atMs

            assertEquals(emptyList(), engine.cacheEvents(0, storedMs + 1_499).events)
            val page = engine.cacheEvents(0, storedMs + 1_500)
            assertEquals(listOf(EngineCacheEvent(0, PrefixBlock(1_000), true)), page.events)
            assertEquals(emptyList(), engine.cacheEvents(page.nextIndex, storedMs + 1_500).events)
        }

        @Test
        fun `lost cache events leave gaps in the index`() {
            val lossy = createEngineModel(settings.copy(cacheEventLossRate = 0.5, seed = 7))
            lossy.submit(request("a", prompt = 640, output = 1, chain = 1), 0)
            lossy.runToIdle()

            val indexes = lossy.cacheEvents(0, 60_000).events.map { it.index }

            assertTrue(indexes.size in 1..9, "expected 1 to 9 of 10 events, got $indexes")
            assertEquals(indexes.sorted().distinct(), indexes)
        }
    }

    @Nested
    inner class CancelAndResume {
        private fun cancelAfterTwoTokens() {
            engine.submit(request("a", prompt = 128, output = 4, chain = 1), 0)
            while (engine.advance(engine.nextEventMs!!).tokens("a").none { it.sequence == 1 }) {
                continue
            }
            assertEquals(
                CancelledStream(RequestId("a"), prefillTokens = 128, cachedTokens = 0, 2),
                engine.cancel(RequestId("a"), 50).getOrNull()
            )
        }

        @Test
        fun `a resumed stream repeats from the sequence number and continues`() {
            cancelAfterTwoTokens()
            engine.resume(RequestId("a"), 1, 60)

            val events = engine.runToIdle()

            assertEquals(listOf(1, 2, 3), events.tokens("a").map { it.sequence })
            assertEquals(2, events.finish("a").rereadTokens, "tokens after the last whole block")
        }

        @Test
        fun `context that was evicted is read again`() {
            cancelAfterTwoTokens()
            engine.submit(request("b", prompt = 640, output = 1, chain = 2), 60)
            engine.runToIdle()
            engine.resume(RequestId("a"), 2, 1_000)

            assertEquals(130, engine.runToIdle().finish("a").rereadTokens)
        }

        @Test
        fun `a cancelled stream gives no more tokens`() {
            cancelAfterTwoTokens()

            assertEquals(emptyList(), engine.runToIdle())
        }

        @Test
        fun `a resume handle expires`() {
            cancelAfterTwoTokens()

            assertEquals(
                EngineError.NotResumable(RequestId("a")),
                engine.resume(RequestId("a"), 0, 50 + settings.resumeHandleMs + 1).leftOrNull()
            )
        }

        @Test
        fun `a stream cannot be resumed beyond what it generated`() {
            cancelAfterTwoTokens()

            assertEquals(
                EngineError.SequenceAhead(RequestId("a"), expectedAtMost = 2, actual = 3),
                engine.resume(RequestId("a"), 3, 60).leftOrNull()
            )
        }

        @Test
        fun `a cancel during prefill leaves no waiting tokens`() {
            engine.submit(request("a", prompt = 500, output = 1), 0)
            engine.advance(20)
            engine.cancel(RequestId("a"), 25)

            assertEquals(EngineLoad(0, 0, 0, false), engine.load(1_000))
        }
    }

    @Nested
    inner class Load {
        @Test
        fun `a report is as old as the last interval`() {
            engine.submit(request("a", prompt = 10_000, output = 1), 500)

            assertEquals(EngineLoad(999, 0, 0, false), engine.load(999))
            assertEquals(EngineLoad(1, 1, 10_000, false), engine.load(1_001))
        }

        @Test
        fun `the notice of leaving is not delayed`() {
            engine.setLeaving(true)

            assertTrue(engine.load(1).isLeaving)
        }
    }

    @Nested
    inner class Crash {
        @Test
        fun `a poison request crashes the engine and ends the whole batch`() {
            engine.submit(request("a", prompt = 1, output = 100), 0)
            engine.submit(request("p", prompt = 1, output = 1).copy(isPoison = true), 5)

            val crash = engine.advance(1_000).last()

            assertEquals(
                EngineEvent.Crashed(22, RequestId("p"), listOf(RequestId("a"), RequestId("p"))),
                crash
            )
            assertNull(engine.nextEventMs)
            assertEquals(
                EngineError.Down,
                engine.submit(request("b", prompt = 1, output = 1), 30).leftOrNull()
            )
        }

        @Test
        fun `a restarted engine has lost its cache`() {
            engine.submit(request("a", prompt = 128, output = 1, chain = 1), 0)
            engine.runToIdle()
            engine.crash(100)
            engine.restart(200)
            engine.submit(request("b", prompt = 128, output = 1, chain = 1), 200)

            assertEquals(0, engine.runToIdle().finish("b").cachedTokens)
        }
    }

    @Nested
    inner class Orders {
        private val newer = FencingNumber(Revision(2), LogOffset(1))
        private val older = FencingNumber(Revision(1), LogOffset(9))
        private val load = EngineOrder.LoadModel("fitting-notes")

        @Test
        fun `an order is in force after its duration`() {
            engine.order(load, newer, 100)

            assertNull(engine.deployment.model)
            assertEquals(listOf(EngineEvent.OrderApplied(2_100, load)), engine.advance(2_100))
            assertEquals("fitting-notes", engine.deployment.model)
        }

        @Test
        fun `an old fencing number is refused`() {
            engine.order(load, newer, 0)

            val refusal = engine.order(EngineOrder.SetRole(EngineRole.DECODE), older, 1)

            assertEquals(EngineError.StaleFencing(newer, older), refusal.leftOrNull())
        }

        @Test
        fun `an engine that ignores fencing takes an old order`() {
            val unfenced = createEngineModel(settings.copy(checksFencing = false))
            unfenced.order(load, newer, 0)

            assertTrue(unfenced.order(EngineOrder.SetRole(EngineRole.DECODE), older, 1).isRight())
        }
    }
}
