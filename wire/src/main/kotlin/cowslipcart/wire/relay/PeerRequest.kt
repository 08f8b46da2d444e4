package cowslipcart.wire.relay

import cowslipcart.core.model.EndpointId

/** What a host asks of another one in the first line of a connection. */
public sealed interface PeerRequest {
    /** A connection to [endpoint]. */
    public data class Relay(public val endpoint: EndpointId) : PeerRequest

    /** The newest configuration. */
    public data object Configuration : PeerRequest

    public companion object {
        /** Decodes [line]; returns null if it is no request that this version knows. */
        public fun decode(line: String): PeerRequest? = when (line) {
            ConfigurationExchange.REQUEST_LINE -> Configuration
            else -> RelayHandshake.decodeRequest(line)?.let { Relay(it) }
        }
    }
}
