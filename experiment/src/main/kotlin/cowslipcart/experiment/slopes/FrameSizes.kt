package cowslipcart.experiment.slopes

import cowslipcart.core.capacity.GrantProgress
import cowslipcart.core.claims.ClaimVerdict
import cowslipcart.core.host.PeerMessage
import cowslipcart.core.membership.HostState
import cowslipcart.core.membership.PingContent
import cowslipcart.core.membership.Rumor
import cowslipcart.core.model.GrantId
import cowslipcart.core.model.LogOffset
import cowslipcart.core.model.ShardId
import cowslipcart.core.origin.requestIdOf
import cowslipcart.wire.peer.PeerProtocol

/** One line for each frequent message with its frame size in each protocol version. */
internal fun measureFrameSizes(): List<String> = frameSizesBytes().map { (name, sizes) ->
    "frame of $name: ${sizes.joinToString()} bytes in versions 1 and 2"
}

/** Frame size in bytes, length field included, by message and in order of protocol version. */
internal fun frameSizesBytes(): Map<String, List<Int>> {
    val from = Samples.identity(0).host
    val to = Samples.identity(1).host
    return frequentMessages().associate { (name, message) ->
        name to (PeerProtocol.FIRST_VERSION..PeerProtocol.NEWEST_VERSION).map { version ->
            val frame = PeerProtocol.encode(from, to, message, version)
            frame.size + DirectNetwork.FRAME_HEADER_BYTES
        }
    }
}

private fun frequentMessages(): List<Pair<String, PeerMessage>> = listOf(
    "an ask with 10 prefix hashes" to
        PeerMessage.AskCapacity(
            shard,
            Samples.capacityRequest(requestIdOf(Samples.process(0), REQUEST_NUMBER), 7),
            1
        ),
    "a grant" to PeerMessage.CapacityGranted(
        shard,
        requestIdOf(Samples.process(1), REQUEST_NUMBER),
        grantId(0),
        Samples.endpoint(1).id,
        1
    ),
    "a release" to PeerMessage.CapacityReleased(
        shard,
        Samples.completed(grantId(0))
    ),
    "progress of 1 stream" to progress(1),
    "progress of 2 streams" to progress(2),
    "a ping without rumors" to ping(0),
    "a ping with 2 rumors" to ping(2),
    "a ping with 8 rumors" to ping(8),
    "a quota ask" to PeerMessage.QuotaAsk(Samples.organisation(1).id, 5_000),
    "a quota grant" to PeerMessage.QuotaGranted(Samples.organisation(1).id, 5_000),
    "a claim" to PeerMessage.ClaimRequest(null, Samples.claim(1, DirectNetwork.WALL_START_MS)),
    "a claim reply" to PeerMessage.ClaimReply(
        Samples.claim(1, DirectNetwork.WALL_START_MS).attempt,
        ClaimVerdict.Won
    )
)

private val shard = ShardId(Samples.pool, 123)

private fun grantId(number: Int) = GrantId("9edb0a5d5c318000-${GRANT_NUMBER + number}")

private fun progress(count: Int) =
    PeerMessage.CapacityProgress(shard, List(count) { GrantProgress(grantId(it), 400) })

private fun ping(rumorCount: Int): PeerMessage {
    val rumors = List(rumorCount) { Rumor.Host(Samples.identity(it + 2), HostState.LIVE, 0) }
    val content = PingContent(
        Samples.identity(0),
        PING_NUMBER,
        HostState.LIVE,
        0,
        LogOffset(CONFIG_OFFSET),
        rumors
    )
    return PeerMessage.Ping(content, isReady = true, isLogReadable = true)
}

private const val REQUEST_NUMBER = 100_000L
private const val GRANT_NUMBER = 100_000
private const val CONFIG_OFFSET = 100_000L
private const val PING_NUMBER = -6_000_000_000_000_000_000L
