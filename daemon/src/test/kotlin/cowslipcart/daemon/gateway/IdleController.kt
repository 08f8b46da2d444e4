package cowslipcart.daemon.gateway

import cowslipcart.core.forwarding.ForwardingController
import cowslipcart.core.forwarding.ForwardingEffect
import cowslipcart.core.forwarding.ForwardingInput
import cowslipcart.core.forwarding.HostLoadReport
import cowslipcart.core.forwarding.HostProfile
import cowslipcart.core.forwarding.ReportPlan
import cowslipcart.core.model.HostId

/** Decides nothing; tests override what they need. */
internal open class IdleController : ForwardingController {
    override fun handle(input: ForwardingInput, nowMs: Long): List<ForwardingEffect> = emptyList()

    override fun nextTickMs(): Long = TICK_MS

    override fun nextCopyAtMs(): Long = Long.MAX_VALUE

    override fun loadReport(nowMs: Long): HostLoadReport? = null

    override fun reportPlan(nowMs: Long): ReportPlan = ReportPlan.ALONE

    override fun onHostsListed(hosts: Map<HostId, HostProfile>, nowMs: Long): Unit = Unit

    companion object {
        const val TICK_MS = 20L
    }
}
