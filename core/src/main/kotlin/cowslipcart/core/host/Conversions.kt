package cowslipcart.core.host

import cowslipcart.core.claims.ClaimItem
import cowslipcart.core.model.GrantId
import cowslipcart.core.model.RequestId
import cowslipcart.core.origin.ReceivedGrant
import cowslipcart.core.origin.StreamEnd
import cowslipcart.core.origin.unusedReport

internal fun PeerMessage.CapacityGranted.toReceivedGrant(): ReceivedGrant =
    ReceivedGrant(shard, requestId, grantId, endpoint, askCount)

/** The request that makes this claim; an attempt has the id of its request. */
internal val ClaimItem.requestId: RequestId get() = RequestId(attempt.value)

/** End of a dispatch whose endpoint was removed from the configuration before it was sent. */
internal fun endpointNotDeclared(grantId: GrantId): StreamEnd =
    StreamEnd.ProvenNotRun(unusedReport(grantId), "the endpoint is no longer declared")
