package cowslipcart.cli

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.jsonPrimitive

/**
 * An event in the log of a gateway.
 *
 * @property log name of the log file
 * @property fields key-value pairs of the event
 * @property atMs wall-clock time, in ms since 1970
 */
internal class GatewayEvent(
    val log: String,
    val atMs: Long,
    val message: String,
    val fields: Map<String, String>
) {
    val request: String? get() = fields["request"]

    override fun toString(): String {
        val described = fields.filterKeys { it != "atMs" }.entries
            .joinToString(" ") { "${it.key}=${it.value}" }
        return "$atMs $log $message $described"
    }
}

/**
 * Parses [text], a line of the file [log]. Anything before the JSON is skipped, for example a host
 * name. Returns null for a line that is no event.
 */
internal fun parseGatewayEvent(log: String, text: String): GatewayEvent? {
    val start = text.indexOf('{')
    if (start < 0) return null
    val json = try {
        Json.parseToJsonElement(text.substring(start)) as? JsonObject
    } catch (_: SerializationException) {
        null
    }
    val atMs = json?.get("timestamp")?.jsonPrimitive?.contentOrNull?.toLongOrNull() ?: return null
    val fields = (json["kvpList"] as? JsonArray).orEmpty().filterIsInstance<JsonObject>()
        .flatMap { it.entries }
        .associate { it.key to it.value.jsonPrimitive.content }
    val message = json["message"]?.jsonPrimitive?.contentOrNull.orEmpty()
    return GatewayEvent(log, atMs, message, fields)
}

/**
 * Returns the events of request [id], and those of its endpoints, its hosts and the store from
 * [CONTEXT_MS] before its first event until its last one, in order of time.
 */
internal fun explainRequest(id: String, events: List<GatewayEvent>): List<String> {
    val own = events.filter { it.request == id }
    if (own.isEmpty()) return emptyList()
    val endpoints = own.mapNotNull { it.fields["endpoint"] }.toSet()
    val logs = own.map { it.log }.toSet()
    val span = own.minOf { it.atMs } - CONTEXT_MS..own.maxOf { it.atMs }
    val context = events.filter { event ->
        event.request == null && event.atMs in span && event.log in logs &&
            (event.fields["subject"] in endpoints || event.message in HOST_EVENTS)
    }
    return (own + context).sortedBy { it.atMs }.map { it.toString() }
}

/** A change in the last seconds before a request can explain what happened to it. */
private const val CONTEXT_MS = 5_000L

/** Messages of events that can affect every request of a gateway. */
private val HOST_EVENTS =
    setOf("start", "stop", "stopped", "reload", "store-lost", "store-regained")
