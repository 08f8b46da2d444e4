package cowslipcart.daemon.endpoint

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import org.junit.jupiter.api.Nested

/** Guards against cache events that are lost or misread in a truncated or malformed page. */
class CacheEventReaderTest {
    private fun event(index: Int) = """{"index":$index,"block":"fedcba9876543210","stored":true}"""

    private val body = """{"events":[${event(0)},${event(1)}],"next_index":2}""".encodeToByteArray()

    @Nested
    inner class Whole {
        @Test
        fun `a hash above the largest signed number is read`() {
            val page = parseCachePage(body, 1_000).getOrNull()
            assertEquals(listOf(0L, 1L), page?.events?.map { it.index })
            assertEquals(-0x123456789abcdf0, page?.events?.first()?.block?.value)
            assertEquals(false, page?.isTruncated)
        }
    }

    @Nested
    inner class Truncated {
        @Test
        fun `complete events before the size limit are returned`() {
            val page = parseCachePage(body, body.size - 20).getOrNull()
            assertEquals(listOf(0L), page?.events?.map { it.index })
            assertEquals(true, page?.isTruncated)
        }
    }

    @Nested
    inner class Malformed {
        @Test
        fun `a body that is not a page is an error`() {
            for (text in listOf(
                "",
                "[]",
                """{"events":[{"index":-1}]}""",
                body.drop(1).toString()
            )) {
                val error = parseCachePage(text.encodeToByteArray(), 1_000).leftOrNull()
                assertIs<CacheReadError.Malformed>(error, "expected an error for '$text'")
            }
        }
    }
}
