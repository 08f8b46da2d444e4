package cowslipcart.experiment.sim

import cowslipcart.core.capacity.CapacityRequest
import cowslipcart.core.capacity.GrantEnd
import cowslipcart.core.capacity.GrantReport
import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.GrantId
import cowslipcart.core.model.HostId
import cowslipcart.core.model.PoolId
import cowslipcart.core.model.RequestId

/** State of a request at its origin host. */
internal sealed interface Phase {
    /** Waits for a grant. [resumeOn] is the engine that holds its cancelled stream, if any. */
    class Waiting(val resumeOn: EndpointId?) : Phase

    /** Runs on [endpoint]. [receivedBefore] output tokens were received under earlier grants. */
    class Running(
        val grantId: GrantId,
        val endpoint: EndpointId,
        val dispatchedAtMs: Long,
        val receivedBefore: Int
    ) : Phase {
        var firstTokenMs: Long? = null
        var isCancelling = false
    }
}

/** One request at its origin host. */
internal class OriginRequest(val record: RequestRecord, private val origin: HostId) {
    var phase: Phase = Phase.Waiting(resumeOn = null)
    var isExpired = false

    val id: RequestId get() = record.arrival.requestId

    /** Builds the ask at [nowMs]; the mean of the tier estimates the length of the answer. */
    fun toCapacityRequest(nowMs: Long, resumeOn: EndpointId?): CapacityRequest {
        val arrival = record.arrival
        val expectedTokens = arrival.tier.outputTokens.mean.toInt()
        return CapacityRequest(
            requestId = id,
            origin = origin,
            organisation = arrival.organisation,
            tier = arrival.tier.tier,
            pool = MODEL_POOL,
            timeLeftMs = record.deadlineAtMs - nowMs,
            prefillTokens = arrival.promptTokens + record.receivedTokens,
            outputTokens = (expectedTokens - record.receivedTokens).coerceAtLeast(1),
            prefixBlocks = arrival.prefixBlocks,
            isSuspect = false,
            isInterruptible = arrival.tier.isInterruptible,
            resumeOn = resumeOn
        )
    }

    /** Builds the report of the end of the grant of [running] for the owner. */
    fun report(
        running: Phase.Running,
        end: GrantEnd,
        prefillTokens: Int,
        cachedTokens: Int,
        nowMs: Long
    ): GrantReport = GrantReport(
        grantId = running.grantId,
        end = end,
        prefillTokens = prefillTokens,
        cachedTokens = cachedTokens,
        outputTokens = record.receivedTokens - running.receivedBefore,
        firstTokenMs = running.firstTokenMs,
        durationMs = nowMs - running.dispatchedAtMs
    )
}

/** The one pool of a run. */
internal val MODEL_POOL = PoolId("model")
