package cowslipcart.core.membership

import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.HostId
import cowslipcart.core.model.LogOffset

/**
 * Which hosts are live and which endpoints are leaving, from the platform's list and from pings
 * between hosts. `nowMs` is monotonic time in milliseconds.
 */
public interface MembershipView {
    /** Live hosts that are not leaving, this host included; candidates for ownership. */
    public val owners: Set<HostId>

    /** All hosts known to be running, leaving ones and this host included. */
    public val liveHosts: Map<HostId, HostIdentity>

    /** Endpoints that announced that they leave, or that the platform lists as leaving. */
    public val leavingEndpoints: Set<EndpointId>

    /** Highest configuration offset that any peer has named; null before the first ping. */
    public val highestConfigOffset: LogOffset?

    /** Takes a new reading of the platform's list. */
    public fun onHostList(list: HostList, nowMs: Long): List<MembershipEffect>

    /** Takes a ping and answers it. */
    public fun onPing(ping: PingContent, nowMs: Long): List<MembershipEffect>

    /**
     * Takes the answer to a ping, from the host itself or relayed by another. The host that answered
     * is [PingContent.from], whatever connection it came through.
     */
    public fun onPingAck(ack: PingContent, nowMs: Long): List<MembershipEffect>

    /** Takes a request of [from] to ping [target] on its behalf. */
    public fun onPingRequest(from: HostId, target: HostId, nowMs: Long): List<MembershipEffect>

    /**
     * Takes an endpoint's own notice that it leaves, and spreads it. The notice lapses after
     * [ENDPOINT_NOTICE_LIFETIME_MS], so it has to be given again while the endpoint keeps leaving.
     */
    public fun onEndpointLeaving(endpoint: EndpointId, nowMs: Long): List<MembershipEffect>

    /** Announces that this host leaves; it stays live, but owns nothing from now on. */
    public fun leave(nowMs: Long): List<MembershipEffect>

    /** Sends due pings and declares silent hosts dead. To be called at least every 100 ms. */
    public fun tick(configOffset: LogOffset, nowMs: Long): List<MembershipEffect>

    public companion object {
        /** Time between two rounds of pings. */
        public const val PING_INTERVAL_MS: Long = 1_000

        /** Time from the first unanswered ping until the host is declared dead. */
        public const val DEATH_AFTER_MS: Long = 4_000

        /** Rumors that one ping or answer carries at most. */
        public const val MAX_RUMORS: Int = 8

        /** Time after which a notice that was not given again lapses. */
        public const val ENDPOINT_NOTICE_LIFETIME_MS: Long = 60_000
    }
}

/** The platform's list of hosts and endpoints. */
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
 * tells the answer of a running process from one that was delayed on its way, for example in a host
 * that was paused while it relayed the answer.
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

/** News that pings carry. */
public sealed interface Rumor {
    /**
     * State of an incarnation of a host. Of two rumors about one incarnation the one with the higher
     * [refutationCount] wins, and with equal counts the one with the higher [HostState]. The order
     * is total and only the host itself raises its count, so all views converge on the host's own
     * word once it has answered a wrong rumor.
     *
     * @property refutationCount how often the host has contradicted a rumor about itself or changed
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
     * @property ageMs time since the endpoint's own notice; relative, as hosts share no clock
     */
    public data class EndpointLeaving(public val endpoint: EndpointId, public val ageMs: Long) :
        Rumor
}

/** State of an incarnation, in rising order of precedence. */
public enum class HostState { LIVE, SUSPECT, LEAVING, DEAD }

/** Effect of the membership view. */
public sealed interface MembershipEffect {
    /** Send a ping to [address]. */
    public data class SendPing(
        public val to: HostId,
        public val address: String,
        public val ping: PingContent
    ) : MembershipEffect

    /** Answer a ping of [to]. */
    public data class SendPingAck(public val to: HostId, public val ack: PingContent) :
        MembershipEffect

    /** Ask [via] to ping [target]. */
    public data class SendPingRequest(public val via: HostId, public val target: HostId) :
        MembershipEffect

    /** An incarnation was declared dead: free what it held. */
    public data class HostDied(public val identity: HostIdentity) : MembershipEffect

    /** [MembershipView.owners] changed: owners have to be computed again. */
    public data object OwnersChanged : MembershipEffect

    /** [MembershipView.leavingEndpoints] changed. */
    public data object LeavingEndpointsChanged : MembershipEffect
}
