package cowslipcart.wire.peer

import cowslipcart.core.capacity.CapacityRequest
import cowslipcart.core.capacity.GrantEnd
import cowslipcart.core.capacity.GrantProgress
import cowslipcart.core.capacity.GrantReport
import cowslipcart.core.capacity.RefusalReason
import cowslipcart.core.capacity.RunningGrant
import cowslipcart.core.claims.ClaimItem
import cowslipcart.core.claims.ClaimVerdict
import cowslipcart.core.claims.ProcessId
import cowslipcart.core.claims.RecordedAnswer
import cowslipcart.core.claims.RequestKey
import cowslipcart.core.config.ConfigState
import cowslipcart.core.host.PeerMessage
import cowslipcart.core.membership.HostIdentity
import cowslipcart.core.membership.HostState
import cowslipcart.core.membership.PingContent
import cowslipcart.core.membership.Rumor
import cowslipcart.core.model.AttemptId
import cowslipcart.core.model.ConfigFetchId
import cowslipcart.core.model.Configuration
import cowslipcart.core.model.DomainId
import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.Fingerprint
import cowslipcart.core.model.GrantId
import cowslipcart.core.model.HostId
import cowslipcart.core.model.IncarnationId
import cowslipcart.core.model.LogOffset
import cowslipcart.core.model.OrganisationId
import cowslipcart.core.model.PoolId
import cowslipcart.core.model.PrefixBlock
import cowslipcart.core.model.RequestId
import cowslipcart.core.model.ShardId
import cowslipcart.core.model.Tier
import cowslipcart.core.origin.KeyStatus
import cowslipcart.core.origin.RequestOutcome
import cowslipcart.core.origin.StoredAnswer
import cowslipcart.core.quarantine.CrashReport
import cowslipcart.wire.WireError
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import org.junit.jupiter.api.Nested

/** Messages of each type; most optional fields have a value. */
internal object PeerSamples {
    val from = HostId("a")
    private val shard = ShardId(PoolId("p"), 2)
    private val process = ProcessId(from, IncarnationId(-5))
    private val key = RequestKey(OrganisationId("o"), "uuid", 99)
    private val claim = ClaimItem.Claim(key, AttemptId("t"), Fingerprint("f"), process)
    private val answer = RecordedAnswer(201, "text/plain", "b")
    private val request = CapacityRequest(
        requestId = RequestId("r"),
        origin = from,
        organisation = OrganisationId("o"),
        tier = Tier(1),
        pool = PoolId("p"),
        timeLeftMs = 7,
        prefillTokens = 8,
        outputTokens = 9,
        prefixBlocks = listOf(PrefixBlock(1), PrefixBlock(-1)),
        isSuspect = true,
        isInterruptible = false,
        resumeOn = EndpointId("e")
    )
    private val report = GrantReport(GrantId("g"), GrantEnd.CANCELLED, 1, 2, 3, 4, 5)
    private val identity = HostIdentity(from, IncarnationId(3), DomainId("d"), "127.0.0.1:1")
    private val ping = PingContent(
        identity,
        pingNumber = 4,
        HostState.LEAVING,
        refutationCount = 2,
        LogOffset(17),
        listOf(
            Rumor.Host(identity, HostState.SUSPECT, 1),
            Rumor.EndpointLeaving(EndpointId("e"), 30)
        )
    )
    private val configState = ConfigState(LogOffset(9), Configuration.EMPTY)
    val configReply = PeerMessage.ConfigReply(ConfigFetchId(8), configState, null)
    val messages: List<PeerMessage> = listOf(
        PeerMessage.Ping(ping, isReady = true, isLogReadable = false),
        PeerMessage.PingAck(ping, isReady = false, isLogReadable = true),
        PeerMessage.PingRequest(HostId("b")),
        PeerMessage.AskCapacity(shard, request, 3),
        PeerMessage.CapacityGranted(shard, RequestId("r"), GrantId("g"), EndpointId("e"), 3),
        PeerMessage.CapacityRefused(shard, RequestId("r"), RefusalReason.DEADLINE, null),
        PeerMessage.CapacityReleased(shard, report),
        PeerMessage.CapacityProgress(shard, listOf(GrantProgress(GrantId("g"), 4))),
        PeerMessage.CancelAsk(shard, RequestId("r")),
        PeerMessage.GiveWay(shard, RequestId("r"), GrantId("g")),
        PeerMessage.GaveWay(shard, report, request),
        PeerMessage.RunningReport(
            shard,
            listOf(RunningGrant(GrantId("g"), EndpointId("e"), request, 6))
        ),
        PeerMessage.ClaimRequest(5, claim),
        PeerMessage.ClaimReply(AttemptId("t"), ClaimVerdict.Won),
        PeerMessage.ClaimReply(
            AttemptId("t"),
            ClaimVerdict.Held(AttemptId("h"), process, answer)
        ),
        PeerMessage.ClaimReply(AttemptId("t"), ClaimVerdict.ContentMismatch),
        PeerMessage.ClaimReply(AttemptId("t"), ClaimVerdict.Expired),
        PeerMessage.ClaimReply(AttemptId("t"), ClaimVerdict.FromFuture),
        PeerMessage.ClaimReply(AttemptId("t"), ClaimVerdict.Undecided("x")),
        PeerMessage.ClaimNotice(null, ClaimItem.Release(key, AttemptId("t"))),
        PeerMessage.ClaimNotice(1, ClaimItem.Outcome(key, AttemptId("t"), answer)),
        PeerMessage.OutcomeQuery(null, RequestId("r"), IncarnationId(1)),
        PeerMessage.OutcomeReply(OrganisationId("o"), RequestId("r"), RequestOutcome.Running),
        PeerMessage.OutcomeReply(OrganisationId("o"), RequestId("r"), RequestOutcome.NotRun),
        PeerMessage.OutcomeReply(OrganisationId("o"), RequestId("r"), RequestOutcome.Unknown),
        PeerMessage.OutcomeReply(
            null,
            RequestId("r"),
            RequestOutcome.Answered(StoredAnswer(200, "t", "b"))
        ),
        PeerMessage.KeyQuery(RequestId("r"), key),
        PeerMessage.KeyReply(RequestId("r"), KeyStatus.RUNNING),
        PeerMessage.CrashNotice(
            CrashReport(
                "c",
                EndpointId("e"),
                listOf(Fingerprint("f")),
                true,
                setOf(EndpointId("d"))
            )
        ),
        PeerMessage.CrashAck("c"),
        PeerMessage.ConfigFetch(ConfigFetchId(-8)),
        configReply,
        configReply.copy(logReadAgeMs = 70),
        PeerMessage.ConfigPartFetch(ConfigFetchId(8), -3, 2),
        PeerMessage.ConfigPart(configReply, -3, index = 1, partCount = 2, declarationCount = 9),
        PeerMessage.QuotaAsk(OrganisationId("o"), 10),
        PeerMessage.QuotaGranted(OrganisationId("o"), 10)
    )
}
