package cowslipcart.core.membership

import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.HostId
import cowslipcart.core.model.LogOffset

/**
 * View of one host on which hosts are live and which endpoints are leaving, from the platform's
 * list and a SWIM protocol (pings, suspicion, gossip) between hosts. `nowMs` is monotonic time in
 * milliseconds. Every function returns the effects to carry out.
 */
public interface MembershipView {
    /** Live hosts that are not leaving, this host included; candidates for ownership. */
    public val ownerCandidates: Set<HostId>

    /** All hosts known to be running, leaving ones and this host included. */
    public val liveHosts: Map<HostId, HostIdentity>

    /** Endpoints that gave notice that they leave, or that the platform lists as leaving. */
    public val leavingEndpoints: Set<EndpointId>

    /** Highest configuration offset that any peer has reported; null before the first ping. */
    public val highestConfigOffset: LogOffset?

    /** Replaces the platform's list by a newer one. */
    public fun onHostList(list: HostList, nowMs: Long): List<MembershipEffect>

    /** Handles a ping and answers it. */
    public fun onPing(ping: PingContent, nowMs: Long): List<MembershipEffect>

    /**
     * Handles the answer to a ping, sent by the pinged host itself or relayed by another host. The
     * host that answered is [PingContent.from], whatever connection it came through.
     */
    public fun onPingAck(ack: PingContent, nowMs: Long): List<MembershipEffect>

    /** Handles a request of [from] to ping [target] on its behalf (indirect ping). */
    public fun onPingRequest(from: HostId, target: HostId, nowMs: Long): List<MembershipEffect>

    /**
     * Handles an endpoint's own notice that it leaves, and spreads it. The notice expires after
     * [ENDPOINT_NOTICE_LIFETIME_MS], so it must be repeated while the endpoint is leaving.
     */
    public fun onEndpointLeaving(endpoint: EndpointId, nowMs: Long): List<MembershipEffect>

    /** Announces that this host leaves. It stays live, but is no longer in [ownerCandidates]. */
    public fun leave(nowMs: Long): List<MembershipEffect>

    /** Sends due pings and detects failed hosts. Must be called at least every 100 ms. */
    public fun tick(configOffset: LogOffset, nowMs: Long): List<MembershipEffect>

    public companion object {
        /** Time between two rounds of pings. */
        public const val PING_INTERVAL_MS: Long = 1_000

        /** Minimum time from the first unanswered ping until a host is declared dead. */
        public const val FAILURE_TIMEOUT_MS: Long = 4_000

        /** Maximum number of rumors in one ping or answer. */
        public const val MAX_RUMORS: Int = 8

        /** Time after which a notice that was not repeated expires. */
        public const val ENDPOINT_NOTICE_LIFETIME_MS: Long = 60_000
    }
}

/** The platform's list of hosts and of the endpoints that leave. */
public data class HostList(
    public val hosts: List<ListedHost>,
    public val leavingEndpoints: Set<EndpointId>
)

/** An entry host on the platform's list; the list does not know incarnations. */
public data class ListedHost(
    public val host: HostId,
    public val peerAddress: String,
    public val isLeaving: Boolean
)

/**
 * Content of a ping and of its answer.
 *
 * @property pingNumber number that the sender of the ping has given it; an answer repeats it. It
 * distinguishes the answer of a running process from a delayed one, for example if a host was
 * paused while it relayed the answer.
 * @property state LIVE or LEAVING
 * @property refutationCount see [Rumor.Host]
 * @property configOffset offset up to which the sender has applied the configuration stream
 * @property rumors at most [MembershipView.MAX_RUMORS]
 */
public data class PingContent(
    public val from: HostIdentity,
    public val pingNumber: Long,
    public val state: HostState,
    public val refutationCount: Long,
    public val configOffset: LogOffset,
    public val rumors: List<Rumor>
)

/** Gossip that pings and their answers carry. */
public sealed interface Rumor {
    /**
     * State of an incarnation of a host. Of two rumors about one incarnation, the one with the
     * higher [refutationCount] wins, and with equal counts the one with the higher [HostState]. The
     * order is total and only the host itself raises its count, so all views converge on the state
     * that the host reports once it has refuted a wrong rumor.
     *
     * @property refutationCount how often the host has refuted a rumor about itself or changed
     * its own state
     */
    public data class Host(
        public val identity: HostIdentity,
        public val state: HostState,
        public val refutationCount: Long
    ) : Rumor

    /**
     * An endpoint leaves.
     *
     * @property ageMs time since the endpoint's own notice; an age, as hosts share no clock
     */
    public data class EndpointLeaving(public val endpoint: EndpointId, public val ageMs: Long) :
        Rumor
}

/** State of an incarnation, in ascending order of precedence. */
public enum class HostState { LIVE, SUSPECT, LEAVING, DEAD }

/** What a [MembershipView] asks its caller to do. */
public sealed interface MembershipEffect {
    /** Send a ping to [address]. */
    public data class SendPing(
        public val to: HostId,
        public val address: String,
        public val ping: PingContent
    ) : MembershipEffect

    /** Send the answer [ack] to [to], which sent the ping or asked this host to send one. */
    public data class SendPingAck(public val to: HostId, public val ack: PingContent) :
        MembershipEffect

    /** Ask [via] to ping [target]. */
    public data class SendPingRequest(public val via: HostId, public val target: HostId) :
        MembershipEffect

    /** An incarnation was declared dead or was replaced: release what it held. */
    public data class HostDied(public val identity: HostIdentity) : MembershipEffect

    /** [MembershipView.ownerCandidates] changed: recompute who owns what. */
    public data object OwnersChanged : MembershipEffect

    /** [MembershipView.leavingEndpoints] changed. */
    public data object LeavingEndpointsChanged : MembershipEffect
}
