package cowslipcart.daemon.gateway

import cowslipcart.core.forwarding.CallId
import cowslipcart.core.forwarding.ForwardingController
import cowslipcart.core.forwarding.ForwardingEffect
import cowslipcart.core.forwarding.ForwardingInput
import cowslipcart.core.forwarding.HostLoadReport
import cowslipcart.core.forwarding.HostProfile
import cowslipcart.core.forwarding.ReportPlan
import cowslipcart.core.model.HostId
import cowslipcart.daemon.control.RuntimeClock
import kotlin.test.Test
import kotlin.test.assertEquals
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
    private class RecordingController : ForwardingController {
        val handled = mutableListOf<ForwardingInput>()

        override fun handle(input: ForwardingInput, nowMs: Long): List<ForwardingEffect> {
            if (input != ForwardingInput.Tick) handled += input
            return emptyList()
        }

        override fun nextTickMs(): Long = TICK_MS

        override fun loadReport(nowMs: Long): HostLoadReport? = null

        override fun reportPlan(nowMs: Long): ReportPlan = ReportPlan.ALONE

        override fun onHostsListed(hosts: Map<HostId, HostProfile>, nowMs: Long) = Unit
    }

    private val controller = RecordingController()

    private fun TestScope.createLoop(): ForwardingLoop {
        val clock = RuntimeClock(testTimeSource)
        val dispatcher = StandardTestDispatcher(testScheduler)
        val metrics = GatewayMetrics()
        val eventLog = GatewayEventLog(clock, metrics)
        return ForwardingLoop(controller, clock, eventLog, metrics, dispatcher) { _, _ -> }
    }

    @Nested
    inner class Inputs {
        /** Guards against requests that get no answer, since the control thread never saw them. */
        @Test
        fun `inputs that arrive at the moment of a tick are handled`() = runTest {
            val loop = createLoop()
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

    private companion object {
        const val TICK_MS = 20L
    }
}
