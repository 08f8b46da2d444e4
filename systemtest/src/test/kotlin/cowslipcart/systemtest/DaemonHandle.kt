package cowslipcart.systemtest

import cowslipcart.wire.admin.ConfigDocument
import cowslipcart.wire.admin.HostDocument
import cowslipcart.wire.admin.PublishRequest
import cowslipcart.wire.admin.SwitchPresetRequest
import kotlinx.serialization.json.Json

/** A daemon process and an HTTP client for it. */
internal class DaemonHandle(
    val hostId: String,
    val process: ManagedProcess,
    val httpPort: Int,
    val peerPort: Int
) {
    val url: String = "http://127.0.0.1:$httpPort"

    suspend fun isReady(): Boolean = get("/readyz", timeoutMs = 2_000)?.status == 200

    /** Sends a chat; [headers] are added to the bearer token. */
    suspend fun chat(
        body: String,
        headers: List<Pair<String, String>> = emptyList(),
        token: String = SampleDeclarations.PARKS_TOKEN
    ): HttpAnswer = HttpCaller.send(chatRequest(body.encodeToByteArray(), headers, token))

    fun chatRequest(
        body: ByteArray,
        headers: List<Pair<String, String>> = emptyList(),
        token: String = SampleDeclarations.PARKS_TOKEN
    ) = HttpRequestData("$url/v1/chat/completions", headers = bearer(token) + headers, body = body)

    fun signOffRequest(key: String?, body: String, token: String = SampleDeclarations.PARKS_TOKEN) =
        HttpRequestData(
            "$url/services/records/sign-offs",
            headers = bearer(token) + listOfNotNull(key?.let { "Idempotency-Key" to it }),
            body = body.encodeToByteArray()
        )

    suspend fun signOff(key: String?, body: String): HttpAnswer =
        HttpCaller.send(signOffRequest(key, body))

    suspend fun config(): ConfigDocument = Json.decodeFromString(admin("config").body)

    suspend fun hosts(): List<HostDocument> = Json.decodeFromString(admin("hosts").body)

    /** Reads `/admin/[path]` as an operator. */
    suspend fun admin(path: String): HttpAnswer =
        HttpCaller.send(HttpRequestData("$url/admin/$path", "GET", bearer(OPERATOR_TOKEN)))

    suspend fun publish(request: PublishRequest): HttpAnswer =
        HttpCaller.send(adminRequest("publish", Json.encodeToString(request)))

    suspend fun switchPreset(request: SwitchPresetRequest): HttpAnswer =
        HttpCaller.send(adminRequest("preset", Json.encodeToString(request)))

    fun adminRequest(path: String, body: String) = HttpRequestData(
        "$url/admin/$path",
        headers = bearer(OPERATOR_TOKEN),
        body = body.encodeToByteArray()
    )

    /** Value of a gauge without labels; null if the daemon does not answer. */
    suspend fun gauge(name: String): Double? = get("/metrics", timeoutMs = 5_000)?.body?.lines()
        ?.firstOrNull { it.startsWith("$name ") }?.substringAfter(' ')?.toDouble()

    suspend fun get(path: String, timeoutMs: Long = LONG_BOUND_MS): HttpAnswer? =
        HttpCaller.trySend(HttpRequestData(url + path, "GET"), timeoutMs)

    companion object {
        const val OPERATOR_TOKEN = "system-test-operator-token"
        const val PEER_SECRET = "system-test-peer-secret"

        fun bearer(token: String) = listOf("Authorization" to "Bearer $token")
    }
}
