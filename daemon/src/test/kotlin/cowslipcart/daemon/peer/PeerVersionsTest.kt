package cowslipcart.daemon.peer

import cowslipcart.core.model.HostId
import kotlin.test.Test
import kotlin.test.assertEquals
import org.junit.jupiter.api.Nested

/** Guards against frames in a protocol version that the receiving host cannot read. */
class PeerVersionsTest {
    private val versions = PeerVersions()
    private val host = HostId("a")

    @Nested
    inner class VersionFor {
        @Test
        fun `a host that has announced no version gets the first one`() {
            assertEquals(1, versions.versionFor(host))
        }

        @Test
        fun `a host that was rolled back gets its older version`() {
            versions.learn(host, 2)
            assertEquals(2, versions.versionFor(host))

            versions.learn(host, 1)
            assertEquals(1, versions.versionFor(host))
        }

        @Test
        fun `a host that was forgotten gets the first version`() {
            versions.learn(host, 2)
            versions.forget(host)

            assertEquals(1, versions.versionFor(host))
        }
    }
}
