package cowslipcart.daemon.endpoint

import cowslipcart.core.capacity.LoadReport
import cowslipcart.core.model.EndpointSpec
import io.ktor.client.HttpClient
import io.ktor.client.request.get
import io.ktor.client.statement.bodyAsText
import io.ktor.http.isSuccess
import java.io.IOException
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/** Reads load reports of endpoints: `GET /load`. */
internal class EndpointProbe(private val client: HttpClient) {
    @Serializable
    private class LoadDocument(
        @SerialName("age_ms") val ageMs: Long = 0,
        val running: Int = 0,
        @SerialName("waiting_tokens") val waitingTokens: Long = 0,
        val leaving: Boolean = false
    )

    /** Returns the report, or null if the endpoint gave none within [TIMEOUT_MS]. */
    @Suppress("TooGenericExceptionCaught")
    suspend fun readLoad(endpoint: EndpointSpec): LoadReport? = withTimeoutOrNull(TIMEOUT_MS) {
        try {
            val response = client.get("http://${endpoint.address}/load")
            if (!response.status.isSuccess()) return@withTimeoutOrNull null
            val load = JSON.decodeFromString<LoadDocument>(response.bodyAsText())
            LoadReport(endpoint.id, load.ageMs, load.running, load.waitingTokens, load.leaving)
        } catch (_: IOException) {
            null
        } catch (_: RuntimeException) {
            // No load report: the HTTP client and the decoder throw these for malformed answers.
            currentCoroutineContext().ensureActive()
            null
        }
    }

    private companion object {
        const val TIMEOUT_MS = 400L
        val JSON = Json { ignoreUnknownKeys = true }
    }
}
