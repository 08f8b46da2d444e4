@file:OptIn(ExperimentalSerializationApi::class)

package cowslipcart.wire.peer

import cowslipcart.core.host.PeerMessage
import cowslipcart.core.membership.HostIdentity
import cowslipcart.core.membership.HostState
import cowslipcart.core.membership.PingContent
import cowslipcart.core.membership.Rumor
import cowslipcart.core.model.DomainId
import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.HostId
import cowslipcart.core.model.IncarnationId
import cowslipcart.core.model.LogOffset
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborArray

/** Array form of a [HostIdentity]; [host] is null if it is the sender. */
@Serializable
@CborArray
internal class CompactIdentity(
    val host: String?,
    val incarnation: Long,
    val domain: String,
    val peerAddress: ByteArray
) {
    fun toIdentity(sender: HostId) = HostIdentity(
        host?.let { HostId(it) } ?: sender,
        IncarnationId(incarnation),
        DomainId(domain),
        CompactIds.decodeAddress(peerAddress)
    )
}

private fun HostIdentity.toCompact(sender: HostId) = CompactIdentity(
    host.takeIf { it != sender }?.value,
    incarnation.value,
    domain.value,
    CompactIds.encodeAddress(peerAddress)
)

/**
 * Array form of a [Rumor]: of a host if [identity] is given, else of an endpoint.
 *
 * @property count refutation count of the host, or age of the endpoint's leave notice in ms
 */
@Serializable
@CborArray
internal class CompactRumor(
    val identity: CompactIdentity?,
    val state: Int?,
    val endpoint: String?,
    val count: Long
) {
    fun toRumor(sender: HostId): Rumor = if (identity != null) {
        Rumor.Host(identity.toIdentity(sender), stateOf(state), count)
    } else {
        val id = requireNotNull(endpoint) { "expected a host or an endpoint, found neither" }
        Rumor.EndpointLeaving(EndpointId(id), count)
    }
}

private fun Rumor.toCompact(sender: HostId) = when (this) {
    is Rumor.Host ->
        CompactRumor(identity.toCompact(sender), STATES.indexOf(state), null, refutationCount)

    is Rumor.EndpointLeaving -> CompactRumor(null, null, endpoint.value, ageMs)
}

/** Array form of a [PeerMessage.Ping] or [PeerMessage.PingAck]. */
@Serializable
@CborArray
internal class CompactPing(
    val from: CompactIdentity,
    val pingNumber: Long,
    val state: Int,
    val refutationCount: Long,
    val configOffset: Long,
    val rumors: List<CompactRumor>,
    val isReady: Boolean,
    val isLogReadable: Boolean
) {
    fun toPing(sender: HostId): PeerMessage =
        PeerMessage.Ping(toContent(sender), isReady, isLogReadable)

    fun toPingAck(sender: HostId): PeerMessage =
        PeerMessage.PingAck(toContent(sender), isReady, isLogReadable)

    private fun toContent(sender: HostId) = PingContent(
        from.toIdentity(sender),
        pingNumber,
        stateOf(state),
        refutationCount,
        LogOffset(configOffset),
        rumors.map { it.toRumor(sender) }
    )
}

internal fun PingContent.toCompact(sender: HostId, isReady: Boolean, isLogReadable: Boolean) =
    CompactPing(
        from.toCompact(sender),
        pingNumber,
        STATES.indexOf(state),
        refutationCount,
        configOffset.value,
        rumors.map { it.toCompact(sender) },
        isReady,
        isLogReadable
    )

private fun stateOf(index: Int?): HostState =
    requireNotNull(index?.let { STATES.getOrNull(it) }) { "expected a host state, found $index" }

/** The index of a state is its value on the wire, so states keep their places. */
private val STATES =
    listOf(HostState.LIVE, HostState.SUSPECT, HostState.LEAVING, HostState.DEAD)
