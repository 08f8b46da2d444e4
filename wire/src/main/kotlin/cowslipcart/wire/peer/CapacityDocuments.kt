package cowslipcart.wire.peer

import cowslipcart.core.capacity.CapacityRequest
import cowslipcart.core.capacity.GrantEnd
import cowslipcart.core.capacity.GrantProgress
import cowslipcart.core.capacity.GrantReport
import cowslipcart.core.capacity.RunningGrant
import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.GrantId
import cowslipcart.core.model.HostId
import cowslipcart.core.model.OrganisationId
import cowslipcart.core.model.PoolId
import cowslipcart.core.model.PrefixBlock
import cowslipcart.core.model.RequestId
import cowslipcart.core.model.ShardId
import cowslipcart.core.model.Tier
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Wire form of a [ShardId]. */
@Serializable
internal class ShardDocument(@SerialName("p") val pool: String, @SerialName("i") val index: Int) {
    fun toShard() = ShardId(PoolId(pool), index)
}

internal fun ShardId.toDocument() = ShardDocument(pool.value, index)

/** Wire form of a [CapacityRequest]. Field names are short because each request sends one. */
@Serializable
internal class CapacityRequestDocument(
    @SerialName("r") val requestId: String,
    @SerialName("h") val origin: String,
    @SerialName("o") val organisation: String,
    @SerialName("t") val tier: Int,
    @SerialName("p") val pool: String,
    @SerialName("d") val timeLeftMs: Long? = null,
    @SerialName("a") val prefillTokens: Int,
    @SerialName("b") val outputTokens: Int,
    @SerialName("x") val prefixBlocks: List<Long> = emptyList(),
    @SerialName("s") val isSuspect: Boolean = false,
    @SerialName("i") val isInterruptible: Boolean = true,
    @SerialName("e") val resumeOn: String? = null
) {
    fun toRequest() = CapacityRequest(
        requestId = RequestId(requestId),
        origin = HostId(origin),
        organisation = OrganisationId(organisation),
        tier = Tier(tier),
        pool = PoolId(pool),
        timeLeftMs = timeLeftMs,
        prefillTokens = prefillTokens,
        outputTokens = outputTokens,
        prefixBlocks = prefixBlocks.map { PrefixBlock(it) },
        isSuspect = isSuspect,
        isInterruptible = isInterruptible,
        resumeOn = resumeOn?.let { EndpointId(it) }
    )
}

internal fun CapacityRequest.toDocument() = CapacityRequestDocument(
    requestId = requestId.value,
    origin = origin.value,
    organisation = organisation.value,
    tier = tier.rank,
    pool = pool.value,
    timeLeftMs = timeLeftMs,
    prefillTokens = prefillTokens,
    outputTokens = outputTokens,
    prefixBlocks = prefixBlocks.map { it.value },
    isSuspect = isSuspect,
    isInterruptible = isInterruptible,
    resumeOn = resumeOn?.value
)

/** Wire form of a [GrantReport]. */
@Serializable
internal class GrantReportDocument(
    @SerialName("g") val grantId: String,
    @SerialName("e") val end: GrantEnd,
    @SerialName("a") val prefillTokens: Int = 0,
    @SerialName("c") val cachedTokens: Int = 0,
    @SerialName("b") val outputTokens: Int = 0,
    @SerialName("f") val firstTokenMs: Long? = null,
    @SerialName("d") val durationMs: Long = 0
) {
    fun toReport() = GrantReport(
        grantId = GrantId(grantId),
        end = end,
        prefillTokens = prefillTokens,
        cachedTokens = cachedTokens,
        outputTokens = outputTokens,
        firstTokenMs = firstTokenMs,
        durationMs = durationMs
    )
}

internal fun GrantReport.toDocument() = GrantReportDocument(
    grantId = grantId.value,
    end = end,
    prefillTokens = prefillTokens,
    cachedTokens = cachedTokens,
    outputTokens = outputTokens,
    firstTokenMs = firstTokenMs,
    durationMs = durationMs
)

/** Wire form of a [GrantProgress]. */
@Serializable
internal class GrantProgressDocument(
    @SerialName("g") val grantId: String,
    @SerialName("n") val sentTokens: Int
) {
    fun toProgress() = GrantProgress(GrantId(grantId), sentTokens)
}

internal fun GrantProgress.toDocument() = GrantProgressDocument(grantId.value, sentTokens)

/** Wire form of a [RunningGrant]. */
@Serializable
internal class RunningGrantDocument(
    @SerialName("g") val grantId: String,
    @SerialName("e") val endpoint: String,
    @SerialName("r") val request: CapacityRequestDocument,
    @SerialName("n") val sentTokens: Int
) {
    fun toRunning() =
        RunningGrant(GrantId(grantId), EndpointId(endpoint), request.toRequest(), sentTokens)
}

internal fun RunningGrant.toDocument() =
    RunningGrantDocument(grantId.value, endpoint.value, request.toDocument(), sentTokens)
