package cowslipcart.systemtest

import cowslipcart.standins.platform.RunnerFault
import cowslipcart.standins.platform.RunnerServer
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Nested

/** Guards against parts of a roll-out that work alone and not in processes with a store. */
class GatewayRolloutTest {
    private val cluster = GatewayCluster()

    @AfterTest
    fun stop() = cluster.close()

    private suspend fun startGateways(): List<GatewayHandle> {
        cluster.publish()
        repeat(2) { cluster.startRunner("old-$it", "desk") }
        return (1..2).map { cluster.startGateway("gateway-$it") }.onEach { it.awaitReady() }
    }

    /** Sends reads to all [gateways] until it is cancelled. */
    private fun CoroutineScope.sendReads(gateways: List<GatewayHandle>): Job =
        launch(Dispatchers.IO) {
            for (gateway in gateways) {
                launch {
                    while (isActive) {
                        gateway.send("/read/1", "GET", body = null)
                        delay(PAUSE_MS)
                    }
                }
            }
        }

    private fun startNew(): List<RunnerServer> =
        (1..2).map { cluster.startRunner("new-$it", "desk", version = "v2") }

    private suspend fun awaitState(state: String) = awaitTrue(
        { "state $state, found ${cluster.rolloutStates("desk")}" },
        LONG_BOUND_MS
    ) { cluster.rolloutStates("desk").lastOrNull().orEmpty().contains("\"state\":\"$state\"") }

    @Nested
    inner class Orders {
        @Test
        fun `a good version takes over and the status says so`(): Unit = runBlocking {
            val gateways = startGateways()
            val reads = sendReads(gateways)
            delay(SETTLE_MS)
            cluster.orderRollout("desk", "v2", DURATION_S)
            val new = startNew()
            awaitState("complete")
            val countAtEnd = new.sumOf { it.runs.size }
            awaitTrue("more requests at the new version") {
                new.sumOf { it.runs.size } > countAtEnd + 10
            }
            reads.cancel()

            val states = cluster.rolloutStates("desk")
            assertTrue(states.all { "\"to\":\"v2\"" in it }, "found $states")
            assertEquals(1, states.count { "serving" !in it }, "found $states")
        }

        @Test
        fun `a version that fails is taken back and gets nothing more`(): Unit = runBlocking {
            val gateways = startGateways()
            val reads = sendReads(gateways)
            delay(SETTLE_MS)
            cluster.orderRollout("desk", "v2", DURATION_S)
            val new = startNew()
            for (runner in new) {
                val faults = (1..FAULTS).map { RunnerFault.Fails }
                synchronized(runner.faults) { runner.faults.addAll(faults) }
            }
            awaitState("rolled_back")
            delay(SETTLE_MS)
            val countAtEnd = new.sumOf { it.runs.size }
            delay(SETTLE_MS)
            reads.cancel()

            assertTrue(countAtEnd in 1..MOST_BAD, "found $countAtEnd")
            assertEquals(countAtEnd, new.sumOf { it.runs.size })
        }
    }

    private companion object {
        const val DURATION_S = 30
        const val PAUSE_MS = 15L
        const val SETTLE_MS = 3_000L
        const val FAULTS = 10_000

        /** Bad answers after which the time to the roll-back counts. */
        const val MOST_BAD = 50
    }
}
