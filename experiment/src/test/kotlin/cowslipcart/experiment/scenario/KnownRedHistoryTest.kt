package cowslipcart.experiment.scenario

import kotlin.test.Test
import kotlin.test.assertEquals
import org.junit.jupiter.api.Tag

/** Histories that show an open fault; each is an entry of KNOWN-RED.txt. */
@Tag("known-red")
class KnownRedHistoryTest {
    /** Guards against a host that restarts in a log outage with an older preset than it served. */
    @Test
    fun `seed 1552 does not go back to an older revision`() {
        assertEquals(emptyList(), History(1_552).run())
    }
}
