package cowslipcart.core.claims

import arrow.core.left
import arrow.core.right
import cowslipcart.core.model.OrganisationId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import org.junit.jupiter.api.Nested

class RequestKeysTest {
    private val organisation = OrganisationId("tailor")
    private val text = "017f22e2-79b0-7cc3-98c4-dc0c0c07398f"

    /** Guards against a wrong key time and against two spellings that count as two keys. */
    @Nested
    inner class ParseRequestKey {
        private fun parse(text: String) = parseRequestKey(organisation, text)

        @Test
        fun `reads the time bits of the example of RFC 9562`() {
            assertEquals(RequestKey(organisation, text, 0x017f22e279b0).right(), parse(text))
        }

        @Test
        fun `takes upper case as the same key`() {
            assertEquals(parse(text), parse(text.uppercase()))
        }

        @Test
        fun `refuses another version`() {
            val random = text.replace("-7", "-4")
            assertEquals(KeyFormatError.WrongVersion('4').left(), parse(random))
        }

        @Test
        fun `refuses another variant`() {
            val other = text.replace("-98", "-c8")
            assertEquals(KeyFormatError.WrongVariant('c').left(), parse(other))
        }

        @Test
        fun `refuses text that is no UUID and quotes it`() {
            listOf("", "k1", "$text ", text.replace('-', '_'), "g" + text.drop(1)).forEach {
                val error = KeyFormatError.NotUuid(it)
                assertEquals(error.left(), parse(it))
                assertTrue("expected" in error.message && "found '$it'" in error.message)
            }
        }
    }

    /** Guards against hosts that disagree about the stream of a key, and against one hot stream. */
    @Nested
    inner class PartitionOf {
        @Test
        fun `spreads keys over all partitions`() {
            val counts = (1..8_000).map { partitionOf(keyAt(NOW_MS, "k$it"), 8) }.groupingBy { it }
                .eachCount()

            assertEquals((0..7).toSet(), counts.keys)
            assertTrue(counts.values.all { it in 850..1_150 }, "found $counts")
        }

        @Test
        fun `does not change between versions`() {
            val partitions = (1..6).map { partitionOf(keyAt(NOW_MS, "k$it"), 8) }
            assertEquals(listOf(3, 4, 6, 1, 6, 6), partitions)
        }
    }
}
