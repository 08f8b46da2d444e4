package cowslipcart.standins.http

import cowslipcart.core.model.RequestId
import cowslipcart.standins.service.ServiceAnswer
import cowslipcart.standins.service.ServiceCall
import cowslipcart.standins.service.ServiceJournalEntry
import cowslipcart.standins.service.ServiceState
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.httpMethod
import io.ktor.server.request.path
import io.ktor.server.request.receiveText
import io.ktor.server.response.header
import io.ktor.server.routing.Route
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.route
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.delay
import kotlinx.coroutines.withContext
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

internal const val NOT_RUN_HEADER: String = "X-Not-Run"

@Serializable
private data class ServiceJournalJson(
    val number: Long,
    @SerialName("at_ms") val atMs: Long,
    val method: String,
    val path: String,
    @SerialName("idempotency_key") val idempotencyKey: String?,
    @SerialName("request_id") val requestId: String?
)

@Serializable
private data class RecordedJson(
    val number: Long,
    @SerialName("content_hash") val contentHash: String
)

@Serializable
private data class StockJson(val item: String, val quantity: Int)

@Serializable
private data class EchoJson(
    val method: String,
    val path: String,
    @SerialName("content_hash") val contentHash: String
)

/** Settings of `POST /control`; an absent field of a change leaves its setting unchanged. */
@Serializable
internal data class ServiceControlJson(
    val leaving: Boolean? = null,
    val refuse: Boolean? = null,
    @SerialName("delay_ms") val delayMs: Long? = null,
    @SerialName("fail_after_effect") val failAfterEffect: Boolean? = null
) {
    fun changedBy(change: ServiceControlJson) = ServiceControlJson(
        change.leaving ?: leaving,
        change.refuse ?: refuse,
        change.delayMs ?: delayMs,
        change.failAfterEffect ?: failAfterEffect
    )
}

/** Runs the calls of the plain service under the settings that tests have sent. */
internal class ServiceRuntime(
    delayMs: Long,
    private val wallMs: () -> Long,
    private val journalFile: JournalFile?
) : AutoCloseable {
    private class State(var control: ServiceControlJson) {
        val service = ServiceState()
        var runningCount = 0
    }

    private val state = Confined(
        State(ServiceControlJson(leaving = false, refuse = false, delayMs, failAfterEffect = false))
    )

    suspend fun control(change: ServiceControlJson): ServiceControlJson = state.use {
        it.control = it.control.changedBy(change)
        it.control
    }

    suspend fun load(): LoadJson = state.use {
        LoadJson(0, it.runningCount, 0, it.control.leaving == true)
    }

    suspend fun journal(): List<ServiceJournalEntry> = state.use { it.service.journal }

    /** Runs [call] to its end even if the caller disconnects. */
    suspend fun run(call: ServiceCall): ServiceResult = withContext(NonCancellable) {
        val control = state.use {
            if (it.control.refuse != true) it.runningCount++
            it.control
        }
        if (control.refuse == true) return@withContext ServiceResult.Refused
        delay(control.delayMs ?: 0)
        val (entry, answer) = state.use {
            it.runningCount--
            it.service.run(call, wallMs())
        }
        journalFile?.append(standinJson.encodeToString(entry.toJson()))
        if (control.failAfterEffect == true) {
            ServiceResult.AnswerLost
        } else {
            ServiceResult.Answered(answer)
        }
    }

    override fun close() = state.close()
}

/** Result of a call to the plain service. */
internal sealed interface ServiceResult {
    data class Answered(val answer: ServiceAnswer) : ServiceResult

    /** Nothing ran. */
    data object Refused : ServiceResult

    /** The call took effect, and the connection is to be closed without an answer. */
    data object AnswerLost : ServiceResult
}

/** Routes of the plain service. */
internal fun Route.serviceRoutes(runtime: ServiceRuntime) {
    get("/journal") { call.respondJson(runtime.journal().map { it.toJson() }) }
    get("/load") { call.respondJson(runtime.load()) }
    post("/control") {
        val change = call.receiveJson<ServiceControlJson>() ?: return@post
        call.respondJson(runtime.control(change))
    }
    route("{path...}") {
        handle { call.respondResult(runtime.run(call.toServiceCall())) }
    }
}

private suspend fun ApplicationCall.toServiceCall() = ServiceCall(
    request.httpMethod.value,
    request.path(),
    request.headers["Idempotency-Key"],
    request.headers[REQUEST_ID_HEADER]?.let { RequestId(it) },
    receiveText()
)

private suspend fun ApplicationCall.respondResult(result: ServiceResult) {
    when (result) {
        is ServiceResult.Answered -> respondAnswer(result.answer)

        ServiceResult.Refused -> {
            response.header(NOT_RUN_HEADER, "true")
            respondError(HttpStatusCode.ServiceUnavailable, "refused")
        }

        ServiceResult.AnswerLost -> closeConnection()
    }
}

private suspend fun ApplicationCall.respondAnswer(answer: ServiceAnswer) = when (answer) {
    is ServiceAnswer.Recorded ->
        respondJson(RecordedJson(answer.number, answer.contentHash), HttpStatusCode.Created)

    is ServiceAnswer.Stock -> respondJson(StockJson(answer.item, answer.quantity))

    is ServiceAnswer.Echo ->
        respondJson(EchoJson(answer.method, answer.path, answer.contentHash))
}

private fun ServiceJournalEntry.toJson() = ServiceJournalJson(
    number,
    atMs,
    call.method,
    call.path,
    call.idempotencyKey,
    call.requestId?.value
)
