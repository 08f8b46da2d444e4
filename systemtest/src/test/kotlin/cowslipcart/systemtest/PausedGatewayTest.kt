package cowslipcart.systemtest

import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Nested

/** Tests gateway processes that are stopped for seconds and go on. */
class PausedGatewayTest {
    private val cluster = GatewayCluster()

    @AfterTest
    fun stop() = cluster.close()

    @Nested
    inner class Leaves {
        /**
         * Guards against a host that acts on what it knew before its pause: the runner left while
         * requests were waiting in the host's sockets.
         */
        @Test
        fun `requests that waited are not sent to a runner that left meanwhile`(): Unit =
            runBlocking(Dispatchers.IO) {
                val runners = listOf("desk-1", "desk-2").map { cluster.startRunner(it, "desk") }
                cluster.publish()
                val gateway = cluster.startGateway("gateway").also { it.awaitReady() }
                repeat(WARM_UP) { gateway.send("/read/$it", "GET", null) }

                gateway.process.pause()
                cluster.register("desk-1", runners.first(), "desk", "draining")
                val waiting = List(REQUEST_COUNT) {
                    async { gateway.send("/order/$it") }
                }
                delay(PAUSE_MS)
                val before = runners.first().runs.size
                gateway.process.resume()
                val statuses = waiting.awaitAll().map { it.status }

                assertEquals(before, runners.first().runs.size, "statuses $statuses")
                assertTrue(statuses.count { it == 200 } > REQUEST_COUNT / 2, "$statuses")
            }
    }

    private companion object {
        const val WARM_UP = 20
        const val REQUEST_COUNT = 8

        /** Longer than the 2 s in which a runner that leaves may get requests. */
        const val PAUSE_MS = 2_500L
    }
}
