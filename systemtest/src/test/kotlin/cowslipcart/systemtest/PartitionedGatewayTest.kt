package cowslipcart.systemtest

import cowslipcart.standins.platform.PlatformStoreServer
import cowslipcart.systemtest.soak.FaultProxy
import cowslipcart.systemtest.soak.LinkFault
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertTrue
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Nested

/** What a partition between a gateway and the runners does to their connections. */
private enum class Cut {
    HANGS,
    RESETS,
    REFUSES_NEW
}

/**
 * Tests gateways that lose all runners while callers, the store and the other gateways still reach
 * them. A cut gateway reads the addresses of proxies from a store of its own.
 */
class PartitionedGatewayTest {
    private val cluster = GatewayCluster()
    private val cutStore = PlatformStoreServer()
    private val links = mutableListOf<FaultProxy>()
    private val chat =
        listOf("Token-Count" to "600,80", "Model" to "m", "Prompt-Prefix" to "a1:600")

    @AfterTest
    fun stop() {
        cluster.close()
        links.forEach { it.close() }
        cutStore.close()
    }

    /** Starts runners, [reachingCount] gateways that reach them and [cutCount] that may be cut. */
    private suspend fun startFleet(reachingCount: Int, cutCount: Int): List<GatewayHandle> {
        for (service in listOf("desk", "model")) {
            repeat(RUNNERS) { cluster.startRunner("$service-$it", service) }
        }
        cluster.publish()
        val reaching = List(reachingCount) { cluster.startGateway("reaching-$it") }
        reaching.forEach { it.awaitReady() }
        copyToCutStore()
        val cut = List(cutCount) { cluster.startGateway("cut-$it", cutStore.port) }
        cut.forEach { it.awaitReady() }
        repeat(WARM_UP) { number -> cut.forEach { it.send("/read/$number", "GET", null) } }
        return cut
    }

    /** Copies all records; the addresses of runners become those of links that can be cut. */
    private fun copyToCutStore() {
        for (topic in listOf("keyed.op", "keyed.servers", HOSTS)) {
            for (record in cluster.store.log.read(topic, 0).orEmpty()) {
                cutStore.log.append(topic, record.key, throughLink(record.value))
            }
        }
    }

    private fun throughLink(value: ByteArray): ByteArray {
        val text = value.decodeToString()
        val port = RUNNER_PORT.find(text)?.groupValues?.get(1) ?: return value
        val link = FaultProxy(port.toInt()).also { links += it }
        return text.replace(":$port\"", ":${link.port}\"").toByteArray()
    }

    private fun cutLinks(cut: Cut) = links.forEach {
        when (cut) {
            Cut.HANGS -> {
                it.fault = LinkFault.Hold
                it.stallListener()
            }

            Cut.RESETS -> {
                it.closeListener()
                it.reset()
            }

            Cut.REFUSES_NEW -> it.closeListener()
        }
    }

    private fun heal() = links.forEach {
        it.openListener()
        it.fault = LinkFault.None
    }

    /** Sends requests of all kinds for [durationMs]; returns the statuses of those it sent. */
    private suspend fun GatewayHandle.load(durationMs: Long): List<Int> = runBlocking {
        val endMs = nowMs() + durationMs
        val answers = generateSequence(0) { it + 1 }.takeWhile { nowMs() < endMs }.map { number ->
            val answer = async(Dispatchers.IO) {
                when (number % KINDS) {
                    0 -> send("/read/$number", "GET", null)
                    1 -> send("/order/$number")
                    else -> send("/chat/$number", headers = chat)
                }.status
            }
            Thread.sleep(INTERVAL_MS)
            answer
        }.toList()
        answers.awaitAll()
    }

    /** Loads [gateways] at once for [durationMs] and returns the share that was served. */
    private suspend fun servedShare(gateways: List<GatewayHandle>, durationMs: Long): Double =
        runBlocking {
            val statuses = gateways.map { async(Dispatchers.IO) { it.load(durationMs) } }
                .awaitAll().flatten()
            statuses.count { it == OK }.toDouble() / statuses.size
        }

    private suspend fun assertServedWhileCut(gateways: List<GatewayHandle>, cut: Cut) {
        cutLinks(cut)
        servedShare(gateways, CONTACT_MS)
        val share = servedShare(gateways, CUT_MS)
        assertTrue(share >= LEAST_SHARE, "$cut: expected $LEAST_SHARE served, found $share")
    }

    /** Guards against callers that are refused because their gateway has lost all runners. */
    @Nested
    inner class OneGateway {
        @Test
        fun `callers are served while connections to runners hang`(): Unit =
            runBlocking(Dispatchers.IO) { assertServedWhileCut(startFleet(1, 1), Cut.HANGS) }

        @Test
        fun `callers are served while connections to runners are reset`(): Unit =
            runBlocking(Dispatchers.IO) { assertServedWhileCut(startFleet(1, 1), Cut.RESETS) }

        @Test
        fun `callers are served while runners refuse new connections`(): Unit =
            runBlocking(Dispatchers.IO) { assertServedWhileCut(startFleet(1, 1), Cut.REFUSES_NEW) }

        @Test
        fun `callers are served in a second partition`(): Unit = runBlocking(Dispatchers.IO) {
            val gateways = startFleet(1, 1)
            assertServedWhileCut(gateways, Cut.RESETS)
            heal()
            delay(HEALED_MS)
            assertServedWhileCut(gateways, Cut.HANGS)
        }
    }

    /** Guards against gateways that pass requests on to others that have lost the runners too. */
    @Nested
    inner class MostGateways {
        @Test
        fun `callers are served while most gateways have lost the runners`(): Unit =
            runBlocking(Dispatchers.IO) { assertServedWhileCut(startFleet(2, 3), Cut.HANGS) }
    }

    private companion object {
        const val HOSTS = "keyed.cowslipcart-hosts"
        val RUNNER_PORT = Regex("\"address\":\"127\\.0\\.0\\.1:(\\d+)\"")
        const val OK = 200
        const val KINDS = 4
        const val RUNNERS = 3
        const val WARM_UP = 10
        const val INTERVAL_MS = 100L

        /** Time after the cut from which callers are to be served. */
        const val CONTACT_MS = 3_000L
        const val CUT_MS = 3_000L
        const val HEALED_MS = 2_000L

        /** Share that is served, of what the other gateways serve. */
        const val LEAST_SHARE = 2.0 / 3
    }
}
