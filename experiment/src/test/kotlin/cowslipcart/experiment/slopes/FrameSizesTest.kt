package cowslipcart.experiment.slopes

import kotlin.test.Test
import kotlin.test.assertEquals
import org.junit.jupiter.api.Nested

/** Guards against frequent messages that grow unnoticed; docs/CAPACITY.md counts on these sizes. */
class FrameSizesTest {
    private val sizesBytes = frameSizesBytes()

    @Nested
    inner class VersionTwo {
        @Test
        fun `the messages of a request have the sizes that the capacity page counts on`() {
            assertEquals(147, sizesBytes.getValue("an ask with 10 prefix hashes").last())
            assertEquals(57, sizesBytes.getValue("a grant").last())
            assertEquals(44, sizesBytes.getValue("a release").last())
            assertEquals(37, sizesBytes.getValue("progress of 1 stream").last())
            assertEquals(54, sizesBytes.getValue("progress of 2 streams").last())
        }

        @Test
        fun `pings have the sizes that the capacity page counts on`() {
            assertEquals(54, sizesBytes.getValue("a ping without rumors").last())
            assertEquals(134, sizesBytes.getValue("a ping with 2 rumors").last())
        }
    }
}
