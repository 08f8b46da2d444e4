package cowslipcart.core.forwarding

import cowslipcart.core.model.EndpointId

/** Collects what the other hosts are told, and decides when there is something to tell. */
internal class FigureReporter(
    private val settings: ForwardingSettings,
    private val fleet: EndpointFleet,
    private val quotas: QuotaBook,
    private val suspicion: CrashSuspicion
) {
    private val readParts = ArrayDeque<ReadPart>()
    private var sequence = 0L
    private var hasChanged = true
    private var reportedAtMs = Long.MIN_VALUE / 2

    /** Load or use changed. */
    fun onChange() {
        hasChanged = true
    }

    /** [endpoint] has read [prompt]; small parts are not worth a message. */
    fun onRead(prompt: List<PromptPart>, endpoint: EndpointId) {
        for (part in prompt) {
            if (part.tokens >=
                PromptHomes.MIN_KNOWN_TOKENS
            ) {
                readParts += ReadPart(part.id, endpoint)
            }
        }
        while (readParts.size > MAX_PARTS) readParts.removeFirst()
    }

    fun next(nowMs: Long): HostFigures? {
        if (!hasChanged && nowMs - reportedAtMs < QUIET_INTERVAL_MS) return null
        hasChanged = false
        reportedAtMs = nowMs
        val parts = readParts.toList()
        readParts.clear()
        return HostFigures(
            host = settings.host,
            incarnation = settings.incarnation,
            sequence = ++sequence,
            profile = settings.profile,
            loads = fleet.ownLoads(),
            tokenMs = fleet.takeTokenTimes(),
            unitsUsed = quotas.ownUse(),
            readParts = parts,
            crashes = suspicion.recentNotices
        )
    }

    private companion object {
        /** Keeps a report within one datagram. */
        const val MAX_PARTS = 16

        /** Longest time between two reports, in ms. */
        const val QUIET_INTERVAL_MS = 1_000L
    }
}
