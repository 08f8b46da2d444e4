package cowslipcart.systemtest

import kotlin.test.assertEquals
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.BeforeAll
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestInstance

/** Guards against an owner that still routes by prefixes that an engine has evicted. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
internal class CacheEventsTest {
    private lateinit var cluster: Cluster
    private val daemon get() = cluster.daemons.first()

    @BeforeAll
    fun startCluster() = runBlocking {
        val engineArguments = listOf("--cache-tokens", "8192", "--cache-event-lag-ms", "100")
        cluster = Cluster.start(ClusterPlan(daemonCount = 1, engineArguments = engineArguments))
    }

    @AfterAll
    fun stopCluster() = cluster.close()

    @Test
    fun `requests no longer go to an engine that evicted their prefix`() = runBlocking {
        val prompt = words("shared", 2_000)
        val first = sendAndFindEngine(prompt)
        assertEquals(first, sendAndFindEngine(prompt), "expected the engine with the prefix")
        val second = cluster.engines.first { it != first }
        second.post(CHAT_PATH, chatBody(prompt, 1))
        first.post(CHAT_PATH, chatBody(words("other", 9_000), 1))
        awaitTrue("an eviction among the events") {
            "\"stored\":false" in first.get("/cache-events?from=0")
        }
        awaitCacheReads()
        assertEquals(second, sendAndFindEngine(prompt), "expected the engine that kept the prefix")
    }

    /** Sends a chat to the daemon and returns the engine that ran it. */
    private suspend fun sendAndFindEngine(prompt: String): StandinHandle {
        val before = cluster.engines.map { it.get("/journal") }
        val answer = daemon.chat(chatBody(prompt, 1))
        assertEquals(200, answer.status, "expected an answer, found $answer")
        val after = cluster.engines.map { it.get("/journal") }
        return cluster.engines[before.indices.single { before[it] != after[it] }]
    }

    /**
     * Awaits [READ_COUNT] reads of cache events. At two reads a second that is long enough for the
     * events to arrive and for an eviction that is deferred by 5 s.
     */
    private suspend fun awaitCacheReads() {
        val name = "cowslipcart_cache_reads_total{result=\"read\"}"
        val before = daemon.gauge(name) ?: 0.0
        awaitTrue("$READ_COUNT reads of cache events") {
            (daemon.gauge(name) ?: 0.0) >= before + READ_COUNT
        }
    }

    private fun words(name: String, count: Int) = (1..count).joinToString(" ") { "$name-$it" }

    private companion object {
        const val READ_COUNT = 16
        const val CHAT_PATH = "/v1/chat/completions"
    }
}
