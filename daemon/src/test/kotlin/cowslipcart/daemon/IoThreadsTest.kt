package cowslipcart.daemon

import java.util.Properties
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlinx.coroutines.IO_PARALLELISM_PROPERTY_NAME
import org.junit.jupiter.api.Nested

/** Guards against 64 I/O threads on a small host, and against selectors that block all of them. */
class IoThreadsTest {
    private val properties = Properties()

    @Nested
    inner class Limit {
        @Test
        fun `one processor gets two threads besides the selectors`() {
            limitIoThreads(processorCount = 1, properties)

            assertEquals("5", properties[IO_PARALLELISM_PROPERTY_NAME])
        }

        @Test
        fun `the limit grows with the processors`() {
            limitIoThreads(processorCount = 10, properties)

            assertEquals("8", properties[IO_PARALLELISM_PROPERTY_NAME])
        }

        @Test
        fun `a limit that is already set is kept`() {
            properties[IO_PARALLELISM_PROPERTY_NAME] = "40"
            limitIoThreads(processorCount = 10, properties)

            assertEquals("40", properties[IO_PARALLELISM_PROPERTY_NAME])
        }
    }
}
