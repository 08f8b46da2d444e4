package cowslipcart.core.membership

import cowslipcart.core.model.DomainId
import cowslipcart.core.model.HostId
import cowslipcart.core.model.IncarnationId

/**
 * Identity of one process of an entry host; a restart changes the incarnation.
 *
 * @property peerAddress IP number and port of its peer socket, for example `127.0.0.1:9001`
 */
public data class HostIdentity(
    public val host: HostId,
    public val incarnation: IncarnationId,
    public val domain: DomainId,
    public val peerAddress: String
)
