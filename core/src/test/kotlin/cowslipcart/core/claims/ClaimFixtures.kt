package cowslipcart.core.claims

import cowslipcart.core.model.AttemptId
import cowslipcart.core.model.Fingerprint
import cowslipcart.core.model.HostId
import cowslipcart.core.model.IncarnationId
import cowslipcart.core.model.LogOffset
import cowslipcart.core.model.OrganisationId

internal const val NOW_MS = Simulation.START_MS
internal const val MINUTE_MS = 60_000L

internal fun originOf(host: String, incarnation: Long = 1) =
    ProcessId(HostId(host), IncarnationId(incarnation))

internal fun keyAt(keyTimeMs: Long, uuid: String = "k") =
    RequestKey(OrganisationId("tailor"), uuid, keyTimeMs)

internal fun claimOf(attempt: String, key: RequestKey = keyAt(NOW_MS), content: String = "usual") =
    ClaimItem.Claim(key, AttemptId(attempt), Fingerprint(content), originOf("h-$attempt"))

internal fun releaseOf(claim: ClaimItem.Claim) = ClaimItem.Release(claim.key, claim.attempt)

internal fun outcomeOf(claim: ClaimItem.Claim) =
    ClaimItem.Outcome(claim.key, claim.attempt, RecordedAnswer(200, "text/plain", "done"))

internal fun heldBy(claim: ClaimItem.Claim, answer: RecordedAnswer? = null) =
    ClaimVerdict.Held(claim.attempt, claim.origin, answer)

internal fun recordAt(offset: Long, vararg items: ClaimItem, atMs: Long = NOW_MS) =
    ClaimRecord(LogOffset(offset), atMs, items.toList())
