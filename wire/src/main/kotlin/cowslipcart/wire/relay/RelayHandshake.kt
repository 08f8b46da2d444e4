package cowslipcart.wire.relay

import cowslipcart.core.model.EndpointId

/** Answer of a host that was asked to relay a connection; [text] is what it sends. */
public enum class RelayAnswer(public val text: String) {
    /** The connection to the endpoint is open. */
    OPEN("open"),

    /** The endpoint can't be connected to, but others can. */
    ENDPOINT_UNREACHABLE("endpoint-unreachable"),

    /** The host has lost the endpoints itself, does not list this one, or relays too much. */
    DECLINED("declined")
}

/**
 * First lines of a relayed connection. The endpoint is named by its id, so that a host relays only
 * to endpoints that it lists itself, at their present address.
 */
public object RelayHandshake {
    private const val PREFIX = "cowslipcart-relay/1 "
    private const val LINE_END = "\r\n"

    /** Encodes the request for a connection to [endpoint]. */
    public fun encodeRequest(endpoint: EndpointId): ByteArray =
        "$PREFIX${endpoint.value}$LINE_END".encodeToByteArray()

    /** Decodes the line of a request; returns null if it is none. */
    public fun decodeRequest(line: String): EndpointId? =
        line.takeIf { it.startsWith(PREFIX) }?.removePrefix(PREFIX)
            ?.takeIf { it.isNotEmpty() }?.let { EndpointId(it) }

    /** Encodes [answer]. */
    public fun encodeAnswer(answer: RelayAnswer): ByteArray =
        "${answer.text}$LINE_END".encodeToByteArray()

    /** Decodes the line of an answer; returns null if it is none. */
    public fun decodeAnswer(line: String): RelayAnswer? =
        RelayAnswer.entries.find { it.text == line }
}
