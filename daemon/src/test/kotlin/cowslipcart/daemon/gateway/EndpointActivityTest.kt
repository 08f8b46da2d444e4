package cowslipcart.daemon.gateway

import cowslipcart.core.model.EndpointId
import cowslipcart.daemon.control.RuntimeClock
import kotlin.test.Test
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TestTimeSource
import org.junit.jupiter.api.Nested

class EndpointActivityTest {
    private val time = TestTimeSource()
    private val activity = EndpointActivity(RuntimeClock(time))
    private val endpoint = EndpointId("e1")

    @Nested
    inner class Inactivity {
        @Test
        fun `an endpoint that never sent bytes is inactive`() {
            assertFalse(activity.isActive(endpoint))
        }

        @Test
        fun `an endpoint is active for half a second after its last bytes`() {
            activity.onBytes(endpoint)
            time += 499.milliseconds
            assertTrue(activity.isActive(endpoint))
            time += 1.milliseconds
            assertFalse(activity.isActive(endpoint))
        }
    }
}
