package cowslipcart.wire.peer

import cowslipcart.core.capacity.RefusalReason
import cowslipcart.core.origin.KeyStanding
import cowslipcart.wire.log.ClaimItemDocument
import cowslipcart.wire.log.ConfigStateDocument
import cowslipcart.wire.log.RequestKeyDocument
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Wire form of a message between hosts. The serial names and the short field names are part of the
 * protocol: change them only together with [PeerCodec.VERSION].
 */
@Serializable
internal sealed interface PeerMessageDocument

/** Wire form of a message between the origin of a request and the owner of a shard. */
@Serializable
internal sealed interface CapacityMessageDocument : PeerMessageDocument

@Serializable
@SerialName("ping")
internal class PingMessage(
    @SerialName("c") val content: PingDocument,
    @SerialName("r") val isReady: Boolean,
    @SerialName("l") val isLogReadable: Boolean
) : PeerMessageDocument

@Serializable
@SerialName("ping-ack")
internal class PingAckMessage(
    @SerialName("c") val content: PingDocument,
    @SerialName("r") val isReady: Boolean,
    @SerialName("l") val isLogReadable: Boolean
) : PeerMessageDocument

@Serializable
@SerialName("ping-request")
internal class PingRequestMessage(@SerialName("t") val target: String) : PeerMessageDocument

@Serializable
@SerialName("ask")
internal class AskMessage(
    @SerialName("s") val shard: ShardDocument,
    @SerialName("r") val request: CapacityRequestDocument,
    @SerialName("n") val askCount: Long
) : CapacityMessageDocument

@Serializable
@SerialName("granted")
internal class GrantedMessage(
    @SerialName("s") val shard: ShardDocument,
    @SerialName("r") val requestId: String,
    @SerialName("g") val grantId: String,
    @SerialName("e") val endpoint: String,
    @SerialName("n") val askCount: Long
) : CapacityMessageDocument

@Serializable
@SerialName("refused")
internal class RefusedMessage(
    @SerialName("s") val shard: ShardDocument,
    @SerialName("r") val requestId: String,
    @SerialName("w") val reason: RefusalReason,
    @SerialName("t") val retryAfterMs: Long? = null
) : CapacityMessageDocument

@Serializable
@SerialName("released")
internal class ReleasedMessage(
    @SerialName("s") val shard: ShardDocument,
    @SerialName("r") val report: GrantReportDocument
) : CapacityMessageDocument

@Serializable
@SerialName("progress")
internal class ProgressMessage(
    @SerialName("s") val shard: ShardDocument,
    @SerialName("r") val reports: List<GrantProgressDocument>
) : CapacityMessageDocument

@Serializable
@SerialName("cancel")
internal class CancelMessage(
    @SerialName("s") val shard: ShardDocument,
    @SerialName("r") val requestId: String
) : CapacityMessageDocument

@Serializable
@SerialName("give-way")
internal class GiveWayMessage(
    @SerialName("s") val shard: ShardDocument,
    @SerialName("r") val requestId: String,
    @SerialName("g") val grantId: String
) : CapacityMessageDocument

@Serializable
@SerialName("gave-way")
internal class GaveWayMessage(
    @SerialName("s") val shard: ShardDocument,
    @SerialName("r") val report: GrantReportDocument,
    @SerialName("c") val resume: CapacityRequestDocument? = null
) : CapacityMessageDocument

@Serializable
@SerialName("running")
internal class RunningMessage(
    @SerialName("s") val shard: ShardDocument,
    @SerialName("r") val running: List<RunningGrantDocument>
) : CapacityMessageDocument

@Serializable
@SerialName("claim")
internal class ClaimMessage(
    @SerialName("p") val partition: Int? = null,
    @SerialName("c") val claim: ClaimItemDocument.Claim
) : PeerMessageDocument

@Serializable
@SerialName("claim-reply")
internal class ClaimReplyMessage(
    @SerialName("a") val attempt: String,
    @SerialName("v") val verdict: VerdictDocument
) : PeerMessageDocument

@Serializable
@SerialName("claim-notice")
internal class ClaimNoticeMessage(
    @SerialName("p") val partition: Int? = null,
    @SerialName("i") val item: ClaimItemDocument
) : PeerMessageDocument

@Serializable
@SerialName("outcome-query")
internal class OutcomeQueryMessage(
    @SerialName("o") val organisation: String? = null,
    @SerialName("r") val requestId: String,
    @SerialName("i") val incarnation: Long
) : PeerMessageDocument

@Serializable
@SerialName("outcome-reply")
internal class OutcomeReplyMessage(
    @SerialName("g") val organisation: String? = null,
    @SerialName("r") val requestId: String,
    @SerialName("o") val outcome: OutcomeDocument
) : PeerMessageDocument

@Serializable
@SerialName("key-query")
internal class KeyQueryMessage(
    @SerialName("r") val requestId: String,
    @SerialName("k") val key: RequestKeyDocument
) : PeerMessageDocument

@Serializable
@SerialName("key-reply")
internal class KeyReplyMessage(
    @SerialName("r") val requestId: String,
    @SerialName("s") val standing: KeyStanding
) : PeerMessageDocument

@Serializable
@SerialName("crash")
internal class CrashMessage(
    @SerialName("c") val crashId: String,
    @SerialName("e") val endpoint: String,
    @SerialName("f") val fingerprints: List<String>,
    @SerialName("a") val ranAlone: Boolean,
    @SerialName("p") val earlierEndpoints: List<String> = emptyList()
) : PeerMessageDocument

@Serializable
@SerialName("crash-ack")
internal class CrashAckMessage(@SerialName("c") val crashId: String) : PeerMessageDocument

@Serializable
@SerialName("config-fetch")
internal class ConfigFetchMessage(@SerialName("i") val fetchId: Long) : PeerMessageDocument

@Serializable
@SerialName("config-reply")
internal class ConfigReplyMessage(
    @SerialName("i") val fetchId: Long,
    @SerialName("s") val state: ConfigStateDocument,
    @SerialName("a") val logReadAgeMs: Long? = null
) : PeerMessageDocument

@Serializable
@SerialName("config-part-fetch")
internal class ConfigPartFetchMessage(
    @SerialName("f") val fetchId: Long,
    @SerialName("t") val transferId: Long,
    @SerialName("i") val index: Int
) : PeerMessageDocument

/** The reply is encoded by itself, so that [checksum] covers its bytes. */
@Serializable
@SerialName("config-part")
internal class ConfigPartMessage(
    @SerialName("r") val reply: ByteArray,
    @SerialName("k") val checksum: Long,
    @SerialName("t") val transferId: Long,
    @SerialName("i") val index: Int,
    @SerialName("n") val partCount: Int,
    @SerialName("d") val declarationCount: Int
) : PeerMessageDocument

@Serializable
@SerialName("quota-ask")
internal class QuotaAskMessage(
    @SerialName("o") val organisation: String,
    @SerialName("n") val askedTokens: Long
) : PeerMessageDocument

@Serializable
@SerialName("quota-granted")
internal class QuotaGrantedMessage(
    @SerialName("o") val organisation: String,
    @SerialName("n") val grantedTokens: Long
) : PeerMessageDocument

@Serializable
@SerialName("error")
internal class ErrorMessage(@SerialName("d") val detail: String) : PeerMessageDocument
