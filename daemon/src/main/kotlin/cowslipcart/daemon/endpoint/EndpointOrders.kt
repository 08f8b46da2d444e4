package cowslipcart.daemon.endpoint

import cowslipcart.core.model.EndpointSpec
import cowslipcart.core.model.EngineRole
import cowslipcart.core.orders.DeployedState
import cowslipcart.core.orders.EndpointOrder
import cowslipcart.core.orders.FencingNumber
import cowslipcart.core.orders.OrderResult
import cowslipcart.core.orders.OrderStep
import io.ktor.client.HttpClient
import io.ktor.client.request.get
import io.ktor.client.request.post
import io.ktor.client.request.setBody
import io.ktor.client.statement.bodyAsText
import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.http.contentType
import io.ktor.http.isSuccess
import java.io.IOException
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/** Client of the order interface of engines: `POST /orders` and `GET /orders`. */
internal class EndpointOrders(private val client: HttpClient) {
    @Serializable
    private class FencingDocument(
        val revision: Long,
        @SerialName("owner_offset") val ownerOffset: Long
    )

    @Serializable
    private class StepDocument(val type: String, val value: String, val fencing: FencingDocument)

    @Serializable
    private class DeploymentDocument(
        val model: String? = null,
        val adapters: Set<String> = emptySet(),
        val version: String? = null,
        val role: String? = null
    )

    /** Sends the steps of [order] in sequence and stops at the first failure. */
    suspend fun send(endpoint: EndpointSpec, order: EndpointOrder): OrderResult {
        for (step in order.steps) {
            val fault = sendStep(endpoint, step, order.fencing)
            if (fault != null) return OrderResult.Failed("$step: $fault")
        }
        return OrderResult.Accepted
    }

    /** Returns what [endpoint] has deployed, or null without a report in [READ_TIMEOUT_MS]. */
    suspend fun readDeployed(endpoint: EndpointSpec): DeployedState? =
        withTimeoutOrNull(READ_TIMEOUT_MS) {
            try {
                val response = client.get("http://${endpoint.address}/orders")
                if (!response.status.isSuccess()) return@withTimeoutOrNull null
                JSON.decodeFromString<DeploymentDocument>(response.bodyAsText()).toDeployed()
            } catch (_: IOException) {
                null
            } catch (_: SerializationException) {
                null
            }
        }

    /** Returns why the step failed, or null if the engine accepted it. */
    private suspend fun sendStep(
        endpoint: EndpointSpec,
        step: OrderStep,
        fencing: FencingNumber
    ): String? = try {
        withTimeoutOrNull(SEND_TIMEOUT_MS) {
            val response = client.post("http://${endpoint.address}/orders") {
                contentType(ContentType.Application.Json)
                setBody(JSON.encodeToString(step.toDocument(fencing)))
            }
            val isAccepted = response.status == HttpStatusCode.Accepted
            if (isAccepted) "" else "expected status 202, found ${response.status.value}"
        }.let { if (it == null) "no answer in $SEND_TIMEOUT_MS ms" else it.ifEmpty { null } }
    } catch (e: IOException) {
        "expected an answer, found ${e.message}"
    }

    private fun OrderStep.toDocument(fencing: FencingNumber): StepDocument {
        val (type, value) = when (this) {
            is OrderStep.LoadModel -> "load_model" to model
            is OrderStep.LoadVersion -> "load_version" to version
            is OrderStep.LoadAdapter -> "load_adapter" to adapter
            is OrderStep.SetRole -> "set_role" to role.name.lowercase()
        }
        val fence = FencingDocument(fencing.revision.value, fencing.ownerOffset.value)
        return StepDocument(type, value, fence)
    }

    private fun DeploymentDocument.toDeployed() = DeployedState(
        model,
        version,
        adapters,
        EngineRole.entries.firstOrNull { it.name.lowercase() == role }
    )

    private companion object {
        const val READ_TIMEOUT_MS = 1_000L

        /** Covers only the acceptance of a step: the engine carries it out afterwards. */
        const val SEND_TIMEOUT_MS = 5_000L
        val JSON = Json { ignoreUnknownKeys = true }
    }
}
