package cowslipcart.wire.peer

import cowslipcart.core.capacity.RefusalReason
import cowslipcart.core.origin.KeyStatus
import cowslipcart.wire.log.ClaimItemDocument
import cowslipcart.wire.log.ConfigStateDocument
import cowslipcart.wire.log.RequestKeyDocument
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Wire form of a message between hosts. The serial names and the short field names are part of the
 * protocol: change them only together with [EnvelopePeerCodec.VERSION].
 */
@Serializable
internal sealed interface PeerMessageDocument

/** Wire form of a message between the origin of a request and the owner of a shard. */
@Serializable
internal sealed interface CapacityMessageDocument : PeerMessageDocument

@Serializable
@SerialName("ping")
internal class PingDocument(
    @SerialName("c") val content: PingContentDocument,
    @SerialName("r") val isReady: Boolean,
    @SerialName("l") val isLogReadable: Boolean
) : PeerMessageDocument

@Serializable
@SerialName("ping-ack")
internal class PingAckDocument(
    @SerialName("c") val content: PingContentDocument,
    @SerialName("r") val isReady: Boolean,
    @SerialName("l") val isLogReadable: Boolean
) : PeerMessageDocument

@Serializable
@SerialName("ping-request")
internal class PingRequestDocument(@SerialName("t") val target: String) : PeerMessageDocument

@Serializable
@SerialName("ask")
internal class AskDocument(
    @SerialName("s") val shard: ShardDocument,
    @SerialName("r") val request: CapacityRequestDocument,
    @SerialName("n") val askCount: Long
) : CapacityMessageDocument

@Serializable
@SerialName("granted")
internal class GrantedDocument(
    @SerialName("s") val shard: ShardDocument,
    @SerialName("r") val requestId: String,
    @SerialName("g") val grantId: String,
    @SerialName("e") val endpoint: String,
    @SerialName("n") val askCount: Long
) : CapacityMessageDocument

@Serializable
@SerialName("refused")
internal class RefusedDocument(
    @SerialName("s") val shard: ShardDocument,
    @SerialName("r") val requestId: String,
    @SerialName("w") val reason: RefusalReason,
    @SerialName("t") val retryAfterMs: Long? = null
) : CapacityMessageDocument

@Serializable
@SerialName("released")
internal class ReleasedDocument(
    @SerialName("s") val shard: ShardDocument,
    @SerialName("r") val report: GrantReportDocument
) : CapacityMessageDocument

@Serializable
@SerialName("progress")
internal class ProgressDocument(
    @SerialName("s") val shard: ShardDocument,
    @SerialName("r") val reports: List<GrantProgressDocument>
) : CapacityMessageDocument

@Serializable
@SerialName("cancel")
internal class CancelDocument(
    @SerialName("s") val shard: ShardDocument,
    @SerialName("r") val requestId: String
) : CapacityMessageDocument

/** Asks the origin to preempt a running request. */
@Serializable
@SerialName("give-way")
internal class GiveWayDocument(
    @SerialName("s") val shard: ShardDocument,
    @SerialName("r") val requestId: String,
    @SerialName("g") val grantId: String
) : CapacityMessageDocument

/** Confirms a preemption; [resume] is null if the request cannot continue. */
@Serializable
@SerialName("gave-way")
internal class GaveWayDocument(
    @SerialName("s") val shard: ShardDocument,
    @SerialName("r") val report: GrantReportDocument,
    @SerialName("c") val resume: CapacityRequestDocument? = null
) : CapacityMessageDocument

@Serializable
@SerialName("running")
internal class RunningDocument(
    @SerialName("s") val shard: ShardDocument,
    @SerialName("r") val running: List<RunningGrantDocument>
) : CapacityMessageDocument

@Serializable
@SerialName("claim")
internal class ClaimDocument(
    @SerialName("p") val partition: Int? = null,
    @SerialName("c") val claim: ClaimItemDocument.Claim
) : PeerMessageDocument

@Serializable
@SerialName("claim-reply")
internal class ClaimReplyDocument(
    @SerialName("a") val attempt: String,
    @SerialName("v") val verdict: ClaimVerdictDocument
) : PeerMessageDocument

@Serializable
@SerialName("claim-notice")
internal class ClaimNoticeDocument(
    @SerialName("p") val partition: Int? = null,
    @SerialName("i") val item: ClaimItemDocument
) : PeerMessageDocument

@Serializable
@SerialName("outcome-query")
internal class OutcomeQueryDocument(
    @SerialName("o") val organisation: String? = null,
    @SerialName("r") val requestId: String,
    @SerialName("i") val incarnation: Long
) : PeerMessageDocument

@Serializable
@SerialName("outcome-reply")
internal class OutcomeReplyDocument(
    @SerialName("g") val organisation: String? = null,
    @SerialName("r") val requestId: String,
    @SerialName("o") val outcome: RequestOutcomeDocument
) : PeerMessageDocument

@Serializable
@SerialName("key-query")
internal class KeyQueryDocument(
    @SerialName("r") val requestId: String,
    @SerialName("k") val key: RequestKeyDocument
) : PeerMessageDocument

@Serializable
@SerialName("key-reply")
internal class KeyReplyDocument(
    @SerialName("r") val requestId: String,
    @SerialName("s") val standing: KeyStatus
) : PeerMessageDocument

@Serializable
@SerialName("crash")
internal class CrashDocument(
    @SerialName("c") val crashId: String,
    @SerialName("e") val endpoint: String,
    @SerialName("f") val fingerprints: List<String>,
    @SerialName("a") val ranAlone: Boolean,
    @SerialName("p") val earlierEndpoints: List<String> = emptyList()
) : PeerMessageDocument

@Serializable
@SerialName("crash-ack")
internal class CrashAckDocument(@SerialName("c") val crashId: String) : PeerMessageDocument

@Serializable
@SerialName("config-fetch")
internal class ConfigFetchDocument(@SerialName("i") val fetchId: Long) : PeerMessageDocument

@Serializable
@SerialName("config-reply")
internal class ConfigReplyDocument(
    @SerialName("i") val fetchId: Long,
    @SerialName("s") val state: ConfigStateDocument,
    @SerialName("a") val logReadAgeMs: Long? = null
) : PeerMessageDocument

@Serializable
@SerialName("config-part-fetch")
internal class ConfigPartFetchDocument(
    @SerialName("f") val fetchId: Long,
    @SerialName("t") val transferId: Long,
    @SerialName("i") val index: Int
) : PeerMessageDocument

/** Part of a large reply. [reply] is encoded separately, so that [checksum] covers its bytes. */
@Serializable
@SerialName("config-part")
internal class ConfigPartDocument(
    @SerialName("r") val reply: ByteArray,
    @SerialName("k") val checksum: Long,
    @SerialName("t") val transferId: Long,
    @SerialName("i") val index: Int,
    @SerialName("n") val partCount: Int,
    @SerialName("d") val declarationCount: Int
) : PeerMessageDocument

@Serializable
@SerialName("quota-ask")
internal class QuotaAskDocument(
    @SerialName("o") val organisation: String,
    @SerialName("n") val askedTokens: Long
) : PeerMessageDocument

@Serializable
@SerialName("quota-granted")
internal class QuotaGrantedDocument(
    @SerialName("o") val organisation: String,
    @SerialName("n") val grantedTokens: Long
) : PeerMessageDocument

/** Reports to the sender of a frame that it could not be decoded. */
@Serializable
@SerialName("error")
internal class ErrorDocument(@SerialName("d") val detail: String) : PeerMessageDocument
