package cowslipcart.daemon.gateway

import cowslipcart.core.intake.ClientAddress
import cowslipcart.core.intake.IntakeLimits
import cowslipcart.core.intake.RefusedIntake
import cowslipcart.daemon.control.RuntimeClock
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.test.testTimeSource
import org.junit.jupiter.api.Nested

@OptIn(ExperimentalCoroutinesApi::class)
class CallerIntakeTest {
    private val limits = IntakeLimits.of(HEAP_BYTES).copy(maxConnections = 1)
    private val roomBytes = limits.largeRequestBytes.toInt()
    private val client = ClientAddress("client")
    private val metrics = GatewayMetrics()

    private fun TestScope.createIntake(): CallerIntake {
        val clock = RuntimeClock(testTimeSource)
        return CallerIntake(limits, clock, metrics, GatewayEventLog(clock, metrics))
    }

    @Nested
    inner class Waiting {
        /** Guards against a request that is not woken when room is given back. */
        @Test
        fun `a request goes on once there is room`() = runTest {
            val intake = createIntake()
            val first = intake.openHold(client)
            first.reserve(roomBytes)
            first.complete()
            launch {
                delay(300)
                first.release()
            }
            intake.openHold(client).reserve(roomBytes)

            assertEquals(300, currentTime)
        }

        /** Guards against room that is granted to a request whose caller left while it waited. */
        @Test
        fun `a wait that is cancelled takes nothing`() = runTest {
            val intake = createIntake()
            val first = intake.openHold(client)
            first.reserve(roomBytes)
            first.complete()
            val second = intake.openHold(client)
            val waiting = launch {
                try {
                    second.read(10_000) { second.reserve(roomBytes) }
                } finally {
                    second.release()
                }
            }
            delay(50)
            waiting.cancelAndJoin()
            first.release()

            assertEquals(0, intake.heldBytes)
        }

        @Test
        fun `a request that finds no room is refused in the end`() = runTest {
            val intake = createIntake()
            val first = intake.openHold(client)
            first.reserve(roomBytes)
            first.complete()
            val second = intake.openHold(client)

            val refusal = assertFailsWith<IntakeRefusedException> {
                second.read(10_000) { second.reserve(roomBytes) }
            }
            assertEquals(RefusedIntake.NO_ROOM, refusal.reason)
            assertTrue(currentTime in limits.maxWaitMs..limits.maxWaitMs + 100, "at $currentTime")
        }
    }

    @Nested
    inner class Yielding {
        /** Guards against a body that stops short of its end and keeps the room of others. */
        @Test
        fun `a stalled read ends for a request that needs its room`() = runTest {
            val intake = createIntake()
            val stalled = intake.openHold(client)
            val reading = async {
                val failure = assertFailsWith<IntakeRefusedException> {
                    stalled.read(30_000) {
                        stalled.reserve(roomBytes)
                        awaitCancellation()
                    }
                }
                stalled.release()
                failure.reason
            }
            delay(limits.stallGraceMs + 1)
            intake.openHold(client).reserve(roomBytes)

            assertEquals(RefusedIntake.STALLED, reading.await())
            val line = "cowslipcart_gateway_limit_strikes_total{limit=\"stalled-body\"} 1.0"
            assertTrue(line in metrics.render().decodeToString())
        }

        /** Guards against a read that takes the timeout of its request for a refusal. */
        @Test
        fun `a read that takes too long ends without a refusal`() = runTest {
            val hold = createIntake().openHold(client)

            assertNull(hold.read(1_000) { awaitCancellation() })
        }
    }

    @Nested
    inner class Connections {
        @Test
        fun `an idle connection is told to close for a new one`() = runTest {
            val intake = createIntake()
            val first = assertNotNull(intake.openConnection())
            assertNotNull(intake.openConnection())

            assertTrue(first.closing.isCompleted)
        }

        /** Guards against a connection that is closed under a request that was passed on. */
        @Test
        fun `a new connection is refused while all others have requests in work`() = runTest {
            val intake = createIntake()
            assertNotNull(intake.openConnection()).onServing()

            assertNull(intake.openConnection())
        }

        /** Guards against a new connection that is closed although there will be room at once. */
        @Test
        fun `a new connection waits for others to be closed`() = runTest {
            val intake = createIntake()
            val slots = List(2) { assertNotNull(intake.openConnection()) }
            launch {
                delay(100)
                slots.first().onClosed()
            }

            assertNotNull(intake.openConnection())
            assertTrue(currentTime in 100..110, "at $currentTime")
        }

        /** Guards against heads without an end that keep everybody else out. */
        @Test
        fun `a request that is being read is refused for a new connection`() = runTest {
            val intake = createIntake()
            val slot = assertNotNull(intake.openConnection())
            val hold = intake.openHold(client)
            slot.onReading(hold)
            val reading = async {
                assertFailsWith<IntakeRefusedException> {
                    hold.read(30_000) { awaitCancellation() }
                }
            }
            delay(10)
            assertNotNull(intake.openConnection())

            assertEquals(RefusedIntake.CONNECTIONS, reading.await().reason)
        }
    }

    private companion object {
        const val HEAP_BYTES = 72L * 1_024 * 1_024
    }
}
