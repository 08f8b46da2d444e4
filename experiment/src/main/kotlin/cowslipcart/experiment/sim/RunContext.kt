package cowslipcart.experiment.sim

import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.PrefixBlock
import cowslipcart.experiment.workload.Workload

/** State that the hosts, owners and engines of one run share. */
internal class RunContext(
    val workload: Workload,
    val queue: EventQueue,
    val recorder: RunRecorder,
    private val engines: Map<EndpointId, SimulatedEngine>
) {
    fun engine(id: EndpointId): SimulatedEngine =
        checkNotNull(engines[id]) { "expected an endpoint of the workload, got $id" }

    /** Length in tokens of the longest start of [blocks] in the cache of any engine. */
    fun longestCachedPrefix(blocks: List<PrefixBlock>): Int =
        engines.values.maxOf { it.cachedTokens(blocks) }
}
