package cowslipcart.standins.http

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.request.get
import io.ktor.client.request.post
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsText
import io.ktor.server.routing.Route
import io.ktor.server.routing.routing
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement

/** A stand-in on a free port with a client. */
internal class HttpTestServer(routes: Route.() -> Unit) : AutoCloseable {
    private val server = StandinServer(port = 0) { routing { routes() } }
    val url = "http://127.0.0.1:${server.start()}"
    val client = HttpClient(CIO)

    suspend fun get(path: String): HttpResponse = client.get("$url$path")

    suspend fun getJson(path: String): JsonElement = Json.parseToJsonElement(get(path).bodyAsText())

    suspend fun post(
        path: String,
        body: Any = "",
        headers: Map<String, String> = emptyMap()
    ): HttpResponse = client.post("$url$path") {
        setBody(body)
        headers.forEach { (name, value) -> this.headers.append(name, value) }
    }

    override fun close() {
        client.close()
        server.close()
    }
}
