package cowslipcart.daemon

import cowslipcart.core.model.DomainId
import cowslipcart.core.model.EndpointId
import cowslipcart.core.model.EndpointSpec
import cowslipcart.core.model.PoolId

/** An endpoint of one slot on [port] of this machine. */
internal fun sampleEndpoint(port: Int) = EndpointSpec(
    id = EndpointId("e"),
    pool = PoolId("p"),
    address = "127.0.0.1:$port",
    domain = DomainId("d"),
    slotCount = 1,
    budgetTokens = 1,
    prefillTokensPerS = 1.0,
    decodeTokensPerS = 1.0,
    cacheTokens = 0,
    canResume = false,
    checksFencing = false
)
