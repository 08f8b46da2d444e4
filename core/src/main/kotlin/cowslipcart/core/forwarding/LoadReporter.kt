package cowslipcart.core.forwarding

import cowslipcart.core.model.EndpointId

/** Builds the load reports for the other hosts and decides when one is due. */
internal class LoadReporter(
    private val settings: ForwardingSettings,
    private val endpoints: EndpointRegistry,
    private val quotas: QuotaRegistry,
    private val quarantine: CrashQuarantine
) {
    private val prefilledParts = ArrayDeque<PrefilledPart>()
    private var sequence = 0L
    private var hasChanged = true
    private var reportedAtMs = Long.MIN_VALUE / 2

    /** The load or the quota usage of this host changed. */
    fun onChange() {
        hasChanged = true
    }

    /** [endpoint] has prefilled [prompt]; parts that are too small to track are left out. */
    fun onPrefilled(prompt: List<PromptPart>, endpoint: EndpointId) {
        for (part in prompt) {
            if (part.tokens >= PrefixCacheIndex.MIN_TRACKED_TOKENS) {
                prefilledParts += PrefilledPart(part.id, endpoint)
            }
        }
        while (prefilledParts.size > MAX_PARTS) prefilledParts.removeFirst()
    }

    /** Returns the next report, or null if nothing changed and the last one is recent. */
    fun next(nowMs: Long): HostLoadReport? {
        if (!hasChanged && nowMs - reportedAtMs < IDLE_INTERVAL_MS) return null
        hasChanged = false
        reportedAtMs = nowMs
        val parts = prefilledParts.toList()
        prefilledParts.clear()
        return HostLoadReport(
            host = settings.host,
            incarnation = settings.incarnation,
            sequence = ++sequence,
            profile = settings.profile,
            loads = endpoints.ownLoads(),
            msPerToken = endpoints.takeTokenTimes(),
            unitsUsed = quotas.unitsUsed(),
            prefilledParts = parts,
            crashes = quarantine.crashNotices,
            suspectedParts = quarantine.takeSuspectedParts(nowMs),
            leavingEndpoints = endpoints.leavingToReport(nowMs),
            answers = quarantine.answerNotices(nowMs),
            quarantines = quarantine.takeQuarantines(nowMs),
            endpointRuns = quarantine.takeEndpointRuns(nowMs)
        )
    }

    private companion object {
        /** Keeps a report within one datagram. */
        const val MAX_PARTS = 16

        /** Interval between reports while nothing changes, in ms. */
        const val IDLE_INTERVAL_MS = 1_000L
    }
}
