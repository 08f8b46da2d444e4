package cowslipcart.core.origin

import cowslipcart.core.capacity.GrantEnd
import cowslipcart.core.capacity.GrantReport
import cowslipcart.core.claims.ProcessId
import cowslipcart.core.claims.RequestKey
import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.Fingerprint
import cowslipcart.core.model.GrantId
import cowslipcart.core.model.HostId
import cowslipcart.core.model.IncarnationId
import cowslipcart.core.model.OrganisationId
import cowslipcart.core.model.PoolId
import cowslipcart.core.model.PrefixBlock
import cowslipcart.core.model.RequestId
import cowslipcart.core.model.SessionId
import cowslipcart.core.model.ShardId
import cowslipcart.core.model.Tier
import kotlin.random.Random

/** An origin, its default request `r1`, and grants and reports for that request. */
internal class OriginFixture(shardCount: Int = 1) {
    val self = ProcessId(HostId("a"), IncarnationId(1))
    val origin = createOriginController(self, Random(1)) { shardCount }
    val requestId = RequestId("r1")
    val shard = ShardId(PoolId("pool"), 0)
    val grantId = GrantId("g1")
    val endpoint = EndpointId("e1")

    fun request(
        key: String? = null,
        isIdempotent: Boolean = true,
        timeLeftMs: Long? = null,
        id: RequestId = requestId,
        tier: Tier = Tier(0),
        organisation: String = "org",
        session: String? = null,
        prefix: List<Long> = emptyList()
    ) = CallerRequest(
        requestId = id,
        organisation = OrganisationId(organisation),
        tier = tier,
        pool = PoolId("pool"),
        key = key?.let { RequestKey(OrganisationId("org"), it, 1_000) },
        isIdempotent = isIdempotent,
        isInterruptible = true,
        fingerprint = Fingerprint("f"),
        timeLeftMs = timeLeftMs,
        prefillTokens = 100,
        outputTokens = 10,
        prefixBlocks = prefix.map(::PrefixBlock),
        session = session?.let(::SessionId)
    )

    fun start(request: CallerRequest = request(), nowMs: Long = 0): List<OriginEffect> =
        origin.start(request, isSuspect = false, nowMs)

    fun grant(askCount: Long = 1, id: GrantId = grantId) =
        ReceivedGrant(shard, requestId, id, endpoint, askCount)

    fun report(end: GrantEnd = GrantEnd.COMPLETED) = GrantReport(grantId, end, 100, 0, 10, 5, 50)
}

/** Returns the only effect of type [T]. */
internal inline fun <reified T> List<OriginEffect>.only(): T = filterIsInstance<T>().single()

internal fun List<OriginEffect>.rejection(): Rejection = only<OriginEffect.Reject>().rejection
