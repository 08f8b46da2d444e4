package cowslipcart.daemon.platform

import cowslipcart.core.host.HostInput
import cowslipcart.core.membership.HostList
import cowslipcart.core.membership.ListedHost
import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.HostId
import cowslipcart.daemon.repeatGuarded
import io.ktor.client.HttpClient
import io.ktor.client.request.get
import io.ktor.client.statement.bodyAsText
import java.io.IOException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.slf4j.LoggerFactory

/** Polls the platform's list of hosts and endpoints: `GET /hosts`. */
internal class HostListPoller(
    private val client: HttpClient,
    private val baseUrl: String,
    private val submit: (HostInput) -> Unit
) {
    private val log = LoggerFactory.getLogger(HostListPoller::class.java)

    @Serializable
    private class ListEntry(
        val id: String,
        val address: String,
        val kind: String,
        val state: String
    )

    /** Polls in [scope] and submits each list, or the failure, to the controller. */
    fun start(scope: CoroutineScope) {
        scope.launch {
            repeatGuarded(log, "reading of the list of hosts") {
                val list = readList()
                submit(list?.let { HostInput.HostListRead(it) } ?: HostInput.HostListFailed)
                delay(POLL_INTERVAL_MS)
            }
        }
    }

    private suspend fun readList(): HostList? = withTimeoutOrNull(TIMEOUT_MS) {
        try {
            val text = client.get("$baseUrl/hosts").bodyAsText()
            toHostList(JSON.decodeFromString<List<ListEntry>>(text))
        } catch (_: IOException) {
            null
        } catch (_: SerializationException) {
            null
        }
    }

    private fun toHostList(entries: List<ListEntry>) = HostList(
        hosts = entries
            .filter { it.kind == "entry" }
            .map { ListedHost(HostId(it.id), it.address, it.state == LEAVING) },
        leavingEndpoints = entries
            .filter { it.kind == "endpoint" && it.state == LEAVING }
            .mapTo(mutableSetOf()) { EndpointId(it.id) }
    )

    private companion object {
        val JSON = Json { ignoreUnknownKeys = true }
        const val LEAVING = "leaving"
        const val POLL_INTERVAL_MS = 1_000L
        const val TIMEOUT_MS = 1_500L
    }
}
