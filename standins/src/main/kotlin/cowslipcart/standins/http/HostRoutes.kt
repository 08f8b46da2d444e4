package cowslipcart.standins.http

import cowslipcart.core.model.DomainId
import cowslipcart.standins.hosts.HostDirectory
import cowslipcart.standins.hosts.ListedHost
import cowslipcart.standins.hosts.ListedId
import cowslipcart.standins.hosts.ListedKind
import cowslipcart.standins.hosts.ListedState
import io.ktor.http.HttpStatusCode
import io.ktor.server.response.respond
import io.ktor.server.routing.Route
import io.ktor.server.routing.RoutingCall
import io.ktor.server.routing.delete
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.put
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

@Serializable
private enum class KindJson {
    @SerialName("entry")
    ENTRY,

    @SerialName("endpoint")
    ENDPOINT
}

@Serializable
private enum class StateJson {
    @SerialName("live")
    LIVE,

    @SerialName("leaving")
    LEAVING
}

/** A list entry; in the body of a PUT, [id] is ignored and taken from the path. */
@Serializable
private data class HostJson(
    val id: String = "",
    val address: String,
    val domain: String,
    val kind: KindJson,
    val state: StateJson = StateJson.LIVE
)

@Serializable
private data class OutageJson(val outage: Boolean)

/** State of the host list stand-in. */
internal class HostListState(val directory: HostDirectory, var isOutage: Boolean = false)

/**
 * Routes of the host list.
 *
 * @param nowMs monotonic clock in milliseconds
 */
internal fun Route.hostRoutes(state: Confined<HostListState>, nowMs: () -> Long) {
    get("/hosts") {
        val hosts = state.use { if (it.isOutage) null else it.directory.list(nowMs()) }
        if (hosts == null) {
            call.respondError(HttpStatusCode.ServiceUnavailable, "outage")
        } else {
            call.respondJson(hosts.map { it.toJson() })
        }
    }
    put("/hosts/{id}") {
        val host = call.receiveJson<HostJson>()?.toHost(call.listedId()) ?: return@put
        state.use { it.directory.put(host, nowMs()) }
        call.respondJson(host.toJson())
    }
    delete("/hosts/{id}") {
        val id = call.listedId()
        state.use { it.directory.delete(id, nowMs()) }
        call.respond(HttpStatusCode.NoContent)
    }
    post("/faults") {
        val change = call.receiveJson<OutageJson>() ?: return@post
        state.use { it.isOutage = change.outage }
        call.respondJson(change)
    }
}

private fun RoutingCall.listedId() = ListedId(requireNotNull(parameters["id"]))

private fun ListedHost.toJson() = HostJson(
    id.value,
    address,
    domain.value,
    when (kind) {
        ListedKind.ENTRY -> KindJson.ENTRY
        ListedKind.ENDPOINT -> KindJson.ENDPOINT
    },
    when (state) {
        ListedState.LIVE -> StateJson.LIVE
        ListedState.LEAVING -> StateJson.LEAVING
    }
)

private fun HostJson.toHost(id: ListedId) = ListedHost(
    id,
    address,
    DomainId(domain),
    when (kind) {
        KindJson.ENTRY -> ListedKind.ENTRY
        KindJson.ENDPOINT -> ListedKind.ENDPOINT
    },
    when (state) {
        StateJson.LIVE -> ListedState.LIVE
        StateJson.LEAVING -> ListedState.LEAVING
    }
)
