package cowslipcart.experiment.slopes

import kotlin.test.Test
import kotlin.test.assertEquals
import org.junit.jupiter.api.Nested

/** Guards against unnoticed growth of frequent messages; docs/CAPACITY.md uses these sizes. */
class FrameSizesTest {
    private val sizesBytes = frameSizesBytes()

    @Nested
    inner class VersionTwo {
        @Test
        fun `the messages of a request have the sizes in the capacity page`() {
            assertEquals(147, sizesBytes.getValue("an ask with 10 prefix hashes").last())
            assertEquals(57, sizesBytes.getValue("a grant").last())
            assertEquals(44, sizesBytes.getValue("a release").last())
            assertEquals(37, sizesBytes.getValue("progress of 1 stream").last())
            assertEquals(54, sizesBytes.getValue("progress of 2 streams").last())
        }

        @Test
        fun `pings have the sizes in the capacity page`() {
            assertEquals(54, sizesBytes.getValue("a ping without rumors").last())
            assertEquals(134, sizesBytes.getValue("a ping with 2 rumors").last())
        }
    }
}
