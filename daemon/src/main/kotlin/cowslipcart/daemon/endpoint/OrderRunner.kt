package cowslipcart.daemon.endpoint

import cowslipcart.core.host.HostInput
import cowslipcart.core.host.OrderEffect
import cowslipcart.core.host.OrderInput
import cowslipcart.core.model.EndpointSpec
import cowslipcart.daemon.repeatGuarded
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.slf4j.LoggerFactory

/**
 * Sends orders to engines and polls what they have deployed. Not thread-safe: effects are performed
 * one at a time.
 */
internal class OrderRunner(
    private val scope: CoroutineScope,
    private val orders: EndpointOrders,
    private val submit: (HostInput) -> Unit
) {
    private val log = LoggerFactory.getLogger(OrderRunner::class.java)
    private var polls = emptyList<Job>()

    /** Sends an order in the background and submits its result to the controller. */
    fun send(effect: OrderEffect.SendOrder) {
        scope.launch {
            val result = orders.send(effect.endpoint, effect.order)
            submit(OrderInput.OrderEnded(effect.shard, effect.order.id, result))
        }
    }

    /** Replaces the polled endpoints by [endpoints]. */
    fun watch(endpoints: List<EndpointSpec>) {
        polls.forEach { it.cancel() }
        polls = endpoints.map { scope.launch { poll(it) } }
    }

    private suspend fun poll(endpoint: EndpointSpec) =
        repeatGuarded(log, "polling of ${endpoint.id}") {
            val deployed = orders.readDeployed(endpoint)
            if (deployed != null) submit(OrderInput.DeploymentRead(endpoint.id, deployed))
            delay(POLL_INTERVAL_MS)
        }

    private companion object {
        const val POLL_INTERVAL_MS = 5_000L
    }
}
