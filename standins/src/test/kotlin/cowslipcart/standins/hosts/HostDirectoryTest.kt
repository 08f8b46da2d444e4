package cowslipcart.standins.hosts

import cowslipcart.core.model.DomainId
import kotlin.test.Test
import kotlin.test.assertEquals
import org.junit.jupiter.api.Nested

/** Guards against changes of the list that are visible too early, too late or out of order. */
class HostDirectoryTest {
    private val directory = HostDirectory(lagMs = 100)
    private val host = ListedHost(
        ListedId("h1"),
        "127.0.0.1:9000",
        DomainId("d1"),
        ListedKind.ENTRY,
        ListedState.LIVE
    )

    @Nested
    inner class Lag {
        @Test
        fun `a change is visible after the lag`() {
            directory.put(host, 0)

            assertEquals(emptyList(), directory.list(99))
            assertEquals(listOf(host), directory.list(100))
        }

        @Test
        fun `changes keep their order`() {
            directory.put(host, 0)
            directory.put(host.copy(state = ListedState.LEAVING), 10)
            directory.delete(host.id, 20)

            assertEquals(ListedState.LEAVING, directory.list(110).single().state)
            assertEquals(emptyList(), directory.list(120))
        }
    }
}
