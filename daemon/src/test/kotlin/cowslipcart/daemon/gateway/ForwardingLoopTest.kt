package cowslipcart.daemon.gateway

import cowslipcart.core.forwarding.AttemptOutcome
import cowslipcart.core.forwarding.CallCommand
import cowslipcart.core.forwarding.CallId
import cowslipcart.core.forwarding.ForwardingController
import cowslipcart.core.forwarding.ForwardingEffect
import cowslipcart.core.forwarding.ForwardingInput
import cowslipcart.core.forwarding.HostLoadReport
import cowslipcart.core.forwarding.HostProfile
import cowslipcart.core.forwarding.RefusalReason
import cowslipcart.core.model.HostId
import cowslipcart.core.model.IncarnationId
import cowslipcart.core.routing.WorkKind
import cowslipcart.daemon.control.RuntimeClock
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.StandardTestDispatcher
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.test.testTimeSource
import org.junit.jupiter.api.Nested

@OptIn(ExperimentalCoroutinesApi::class)
class ForwardingLoopTest {
    private class RecordingController : IdleController() {
        val handled = mutableListOf<ForwardingInput>()

        override fun handle(input: ForwardingInput, nowMs: Long): List<ForwardingEffect> {
            if (input != ForwardingInput.Tick) handled += input
            return emptyList()
        }
    }

    /** Fails for each request and for each end of an attempt. */
    private class FailingController : IdleController() {
        override fun handle(input: ForwardingInput, nowMs: Long): List<ForwardingEffect> =
            when (input) {
                is ForwardingInput.Arrived, is ForwardingInput.AttemptEnded -> error("unexpected")
                else -> emptyList()
            }
    }

    /** Has a copy due at [copyAtMs], which a tick sends, or fails to send if [isFailing]. */
    private class CopyingController(private val copyAtMs: Long, private val isFailing: Boolean) :
        IdleController() {
        val ticksAtMs = mutableListOf<Long>()
        private var isSent = false

        override fun nextCopyAtMs(): Long = if (isSent) Long.MAX_VALUE else copyAtMs

        override fun handle(input: ForwardingInput, nowMs: Long): List<ForwardingEffect> {
            ticksAtMs += nowMs
            check(!isFailing) { "unexpected" }
            if (nowMs >= copyAtMs) isSent = true
            return emptyList()
        }
    }

    private val controller = RecordingController()

    private fun TestScope.createLoop(controller: ForwardingController): ForwardingLoop {
        val clock = RuntimeClock(testTimeSource)
        val dispatcher = StandardTestDispatcher(testScheduler)
        val metrics = GatewayMetrics()
        val eventLog = GatewayEventLog(clock, metrics)
        return ForwardingLoop(controller, clock, eventLog, metrics, dispatcher) { _, _ -> }
    }

    @Nested
    inner class Copies {
        /** Guards against a copy that is sent only with the next regular tick. */
        @Test
        fun `a tick comes when a copy is due`() = runTest {
            val copying = CopyingController(COPY_AT_MS, isFailing = false)
            createLoop(copying).start(backgroundScope)
            delay(COPY_AT_MS + 1)
            assertEquals(COPY_AT_MS, copying.ticksAtMs.last())
        }

        /** Guards against a control thread that spins since a failed tick leaves its copy due. */
        @Test
        fun `ticks that fail are repeated at a bounded rate`() = runTest {
            val failing = CopyingController(COPY_AT_MS, isFailing = true)
            createLoop(failing).start(backgroundScope)
            delay(COPY_AT_MS + 1_000)
            assertTrue(failing.ticksAtMs.size in 100..300, "found ${failing.ticksAtMs.size}")
        }
    }

    @Nested
    inner class Inputs {
        /** Guards against requests that get no answer, since the control thread never saw them. */
        @Test
        fun `inputs that arrive at the moment of a tick are handled`() = runTest {
            val loop = createLoop(controller)
            val inputs = (1L..5L).map { ForwardingInput.CallClosed(CallId(it)) }
            launch {
                for (input in inputs) {
                    delay(TICK_MS)
                    loop.submit(input)
                }
            }
            loop.start(backgroundScope)
            delay(TICK_MS * (inputs.size + 1))

            assertEquals<List<ForwardingInput>>(inputs, controller.handled)
        }
    }

    @Nested
    inner class Reports {
        private fun report(number: Long) = HostLoadReport(
            HostId("host"),
            IncarnationId(1),
            number,
            HostProfile("a", 1.0),
            emptyMap(),
            emptyMap(),
            emptyMap(),
            emptyList(),
            emptyList(),
            emptyList()
        )

        /** Guards against control work that grows with the number of hosts, not with requests. */
        @Test
        fun `the reports of many hosts are one input`() = runTest {
            val loop = createLoop(controller)
            loop.start(backgroundScope)
            delay(TICK_MS)
            val reports = (1L..100L).map { report(it) }
            reports.forEach { loop.submitReport(it) }
            delay(TICK_MS)

            val input: ForwardingInput = ForwardingInput.PeersReported(reports)
            assertEquals(listOf(input), controller.handled)
        }

        /** Guards against decisions by reports that have arrived but are not known yet. */
        @Test
        fun `a report that arrived before a request is handled before it`() = runTest {
            val loop = createLoop(controller)
            loop.start(backgroundScope)
            delay(TICK_MS)
            loop.submit(ForwardingInput.CallClosed(CallId(1)))
            loop.submitReport(report(1))
            delay(1)

            val reported: ForwardingInput = ForwardingInput.PeersReported(listOf(report(1)))
            assertEquals(reported, controller.handled.first())
        }
    }

    /** Guards against requests that all get no answer, since the control thread has ended. */
    @Nested
    inner class FailingInputs {
        private val call = sampleCall(WorkKind.Idempotent)

        private fun commandAfter(input: ForwardingInput): CallCommand? {
            var command: CallCommand? = null
            runTest {
                val loop = createLoop(FailingController())
                val commands = loop.register(call.id)
                loop.start(backgroundScope)
                loop.submit(input)
                delay(TICK_MS)
                command = commands.tryReceive().getOrNull()
            }
            return command
        }

        @Test
        fun `a request that the controller fails on is refused as not run`() {
            val refusal = CallCommand.Refuse(RefusalReason.CONTROL_FAILED, null)

            assertEquals<CallCommand?>(refusal, commandAfter(ForwardingInput.Arrived(call)))
        }

        @Test
        fun `a request is given up if the controller fails on the end of its attempt`() {
            val outcome = AttemptOutcome.Broken("reset")

            assertEquals<CallCommand?>(
                CallCommand.GiveUp(RefusalReason.CONTROL_FAILED),
                commandAfter(ForwardingInput.AttemptEnded(call.id, 1, outcome))
            )
        }
    }

    private companion object {
        const val COPY_AT_MS = 50L
        const val TICK_MS = IdleController.TICK_MS
    }
}
