package cowslipcart.experiment.check

import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.RequestId
import cowslipcart.experiment.sim.TraceEvent

/**
 * Checks that each request is dispatched at most once. A resume is no new dispatch, but it must
 * follow a dispatch and continue on the same endpoint.
 */
public fun findDispatchBreaches(trace: List<TraceEvent>): List<DispatchBreach> {
    val dispatchedTo = mutableMapOf<RequestId, EndpointId>()
    return trace.filterIsInstance<TraceEvent.Dispatched>().mapNotNull { event ->
        val earlier = dispatchedTo.putIfAbsent(event.requestId, event.endpoint)
        val detail = when {
            !event.isResume && earlier != null ->
                "expected one dispatch, got a second to ${event.endpoint} after $earlier"

            event.isResume && earlier == null ->
                "expected a dispatch before the resume on ${event.endpoint}, got none"

            event.isResume && earlier != event.endpoint ->
                "expected a resume on $earlier, got one on ${event.endpoint}"

            else -> null
        }
        detail?.let { DispatchBreach(event.atMs, event.requestId, it) }
    }
}
