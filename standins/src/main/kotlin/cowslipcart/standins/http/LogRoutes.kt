package cowslipcart.standins.http

import cowslipcart.core.log.LogPage
import cowslipcart.core.log.LogRecord
import cowslipcart.core.model.LogOffset
import cowslipcart.core.model.StreamName
import cowslipcart.standins.log.LogFaults
import cowslipcart.standins.log.LogStoreError
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.receive
import io.ktor.server.routing.Route
import io.ktor.server.routing.RoutingCall
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.route
import java.util.Base64
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

@Serializable
private data class AppendAnswer(
    val offset: Long,
    @SerialName("appended_at_ms") val appendedAtMs: Long
)

@Serializable
private data class RecordJson(
    val offset: Long,
    @SerialName("appended_at_ms") val appendedAtMs: Long,
    val payload: String
)

@Serializable
private data class PageJson(
    val records: List<RecordJson>,
    @SerialName("first_kept_offset") val firstKeptOffset: Long,
    @SerialName("end_offset") val endOffset: Long
)

/** Body of `POST /faults`; an absent field leaves its fault unchanged. */
@Serializable
private data class FaultsJson(
    val outage: Boolean? = null,
    @SerialName("slow_ms") val slowMs: Long? = null,
    @SerialName("lose_ack_rate") val loseAckRate: Double? = null,
    @SerialName("stale_reads_behind") val staleReadsBehind: Int? = null
)

/** Routes of the log service. */
internal fun Route.logRoutes(service: LogService) {
    route("/streams/{name}/records") {
        post { call.handleAppend(service) }
        get { call.handleRead(service) }
    }
    post("/faults") {
        val change = call.receiveJson<FaultsJson>() ?: return@post
        call.respondJson(service.changeFaults { it.changedBy(change) }.toJson())
    }
}

private suspend fun RoutingCall.handleAppend(service: LogService) {
    when (val result = service.append(streamName(), receive<ByteArray>())) {
        is AppendResult.Appended -> respondJson(
            AppendAnswer(result.record.offset.value, result.record.appendedAtMs)
        )

        is AppendResult.Refused -> when (val error = result.error) {
            is LogStoreError.RateExceeded -> respondError(
                HttpStatusCode.TooManyRequests,
                "expected at most ${error.appendsPerS} appends/s"
            )
        }

        AppendResult.AckLost -> respondError(HttpStatusCode.GatewayTimeout, "answer lost")

        AppendResult.Outage -> respondOutage()
    }
}

private suspend fun RoutingCall.handleRead(service: LogService) {
    val from = queryLong("from", 0)
    val maxCount = queryLong("max", DEFAULT_MAX_RECORDS).coerceIn(0, MAX_RECORDS).toInt()
    val waitMs = queryLong("wait_ms", 0).coerceIn(0, MAX_WAIT_MS)
    val page = service.read(streamName(), LogOffset(from), maxCount, waitMs)
    if (page == null) respondOutage() else respondJson(page.toJson())
}

private suspend fun ApplicationCall.respondOutage() =
    respondError(HttpStatusCode.ServiceUnavailable, "outage")

private fun RoutingCall.streamName() = StreamName(requireNotNull(parameters["name"]))

private fun RoutingCall.queryLong(name: String, default: Long): Long =
    request.queryParameters[name]?.toLongOrNull() ?: default

private fun LogPage.toJson() =
    PageJson(records.map { it.toJson() }, firstKeptOffset.value, endOffset.value)

private fun LogRecord.toJson() =
    RecordJson(offset.value, appendedAtMs, Base64.getEncoder().encodeToString(payload))

private fun LogFaults.changedBy(change: FaultsJson) = LogFaults(
    isOutage = change.outage ?: isOutage,
    slowMs = change.slowMs ?: slowMs,
    loseAckRate = change.loseAckRate ?: loseAckRate,
    staleReadsBehind = change.staleReadsBehind ?: staleReadsBehind
)

private fun LogFaults.toJson() = FaultsJson(isOutage, slowMs, loseAckRate, staleReadsBehind)

private const val DEFAULT_MAX_RECORDS = 1_000L
private const val MAX_RECORDS = 10_000L
private const val MAX_WAIT_MS = 30_000L
