package cowslipcart.cli

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.jsonPrimitive

/**
 * A line of a gateway's log.
 *
 * @property atMs wall-clock time, in ms since 1970
 */
internal class GatewayLine(
    val log: String,
    val atMs: Long,
    val message: String,
    val facts: Map<String, String>
) {
    val request: String? get() = facts["request"]

    override fun toString(): String {
        val described = facts.filterKeys { it != "atMs" }.entries
            .joinToString(" ") { "${it.key}=${it.value}" }
        return "$atMs $log $message $described"
    }
}

/** Parses a line of [log]; anything before its JSON is skipped. Returns null for other lines. */
internal fun parseGatewayLine(log: String, text: String): GatewayLine? {
    val start = text.indexOf('{')
    if (start < 0) return null
    val json = try {
        Json.parseToJsonElement(text.substring(start)) as? JsonObject
    } catch (_: SerializationException) {
        null
    }
    val atMs = json?.get("timestamp")?.jsonPrimitive?.contentOrNull?.toLongOrNull() ?: return null
    val facts = (json["kvpList"] as? JsonArray).orEmpty().filterIsInstance<JsonObject>()
        .flatMap { it.entries }
        .associate { it.key to it.value.jsonPrimitive.content }
    val message = json["message"]?.jsonPrimitive?.contentOrNull.orEmpty()
    return GatewayLine(log, atMs, message, facts)
}

/**
 * Returns the lines on request [id] in order, and what changed about its endpoints, its host and
 * the store from [CONTEXT_MS] before it until its end.
 */
internal fun explainRequest(id: String, lines: List<GatewayLine>): List<String> {
    val own = lines.filter { it.request == id }
    if (own.isEmpty()) return emptyList()
    val endpoints = own.mapNotNull { it.facts["endpoint"] }.toSet()
    val logs = own.map { it.log }.toSet()
    val span = own.minOf { it.atMs } - CONTEXT_MS..own.maxOf { it.atMs }
    val context = lines.filter { line ->
        line.request == null && line.atMs in span && line.log in logs &&
            (line.facts["subject"] in endpoints || line.message in PROCESS_EVENTS)
    }
    return (own + context).sortedBy { it.atMs }.map { it.toString() }
}

/** A request is affected by changes of the last seconds before it, in ms. */
private const val CONTEXT_MS = 5_000L
private val PROCESS_EVENTS =
    setOf("start", "stop", "stopped", "reload", "store-lost", "store-regained")
