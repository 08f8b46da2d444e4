package cowslipcart.daemon.endpoint

import cowslipcart.core.host.HostInput
import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.EndpointSpec
import cowslipcart.daemon.repeatGuarded
import java.util.concurrent.ConcurrentHashMap
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.slf4j.LoggerFactory

/** Polls the load reports of the endpoints in the shards that this host owns. */
internal class LoadPoller(
    private val scope: CoroutineScope,
    private val probe: EndpointProbe,
    private val submit: (HostInput) -> Unit
) {
    private val log = LoggerFactory.getLogger(LoadPoller::class.java)
    private val jobs = ConcurrentHashMap<EndpointId, Pair<EndpointSpec, Job>>()

    /** Replaces the polled endpoints by [endpoints]; unchanged ones are polled on. */
    fun watch(endpoints: List<EndpointSpec>) {
        val wanted = endpoints.associateBy { it.id }
        for ((id, running) in jobs) {
            if (wanted[id] != running.first) {
                running.second.cancel()
                jobs.remove(id)
            }
        }
        for (endpoint in endpoints) {
            jobs.computeIfAbsent(endpoint.id) { endpoint to scope.launch { poll(endpoint) } }
        }
    }

    private suspend fun poll(endpoint: EndpointSpec) =
        repeatGuarded(log, "polling of ${endpoint.id}") {
            val report = probe.readLoad(endpoint)
            submit(
                if (report == null) {
                    HostInput.LoadFailed(endpoint.id)
                } else {
                    HostInput.LoadRead(report)
                }
            )
            delay(POLL_INTERVAL_MS)
        }

    private companion object {
        const val POLL_INTERVAL_MS = 500L
    }
}
