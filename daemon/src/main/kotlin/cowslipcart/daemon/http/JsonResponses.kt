package cowslipcart.daemon.http

import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.response.respondText
import kotlinx.serialization.json.Json

internal val responseJson: Json = Json { encodeDefaults = true }

/** Answers with [value] as JSON. */
internal suspend inline fun <reified T> ApplicationCall.respondJson(
    value: T,
    status: HttpStatusCode = HttpStatusCode.OK
): Unit = respondText(responseJson.encodeToString(value), ContentType.Application.Json, status)
