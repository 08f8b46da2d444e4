package cowslipcart.standins.http

import arrow.core.Either
import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.receiveText
import io.ktor.server.response.respondText
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/** JSON of all stand-ins; unknown fields are ignored, as callers may send more than is used. */
internal val standinJson: Json = Json {
    ignoreUnknownKeys = true
    encodeDefaults = true
    explicitNulls = false
}

/** Error answer of a stand-in. */
@Serializable
internal data class ErrorAnswer(val error: String)

internal suspend inline fun <reified T> ApplicationCall.respondJson(
    body: T,
    status: HttpStatusCode = HttpStatusCode.OK
) = respondText(standinJson.encodeToString(body), ContentType.Application.Json, status)

internal suspend fun ApplicationCall.respondError(status: HttpStatusCode, error: String) =
    respondJson(ErrorAnswer(error), status)

/** Returns the body, or answers 400 and returns null. */
internal suspend inline fun <reified T> ApplicationCall.receiveJson(): T? {
    val text = receiveText()
    return Either.catchOrThrow<SerializationException, T> { standinJson.decodeFromString<T>(text) }
        .onLeft { respondError(HttpStatusCode.BadRequest, "expected JSON, got: ${it.message}") }
        .getOrNull()
}
