package cowslipcart.core.membership

import kotlin.test.Test
import kotlin.test.assertEquals
import org.junit.jupiter.api.Nested

class StableHasherTest {
    @Nested
    inner class Parts {
        /** Guards against hosts that know the same request by different fingerprints. */
        @Test
        fun `the hash of bytes in parts is that of their text`() {
            val bytes = ByteArray(600) { it.toByte() }
            val text = "shop POST /a/ " + String(bytes, Charsets.ISO_8859_1)
            for (split in listOf(0, 1, 255, 600)) {
                val hash = StableHasher()
                    .add("shop POST ").add("/a/ ")
                    .add(bytes.copyOfRange(0, split)).add(bytes.copyOfRange(split, bytes.size))
                    .value
                assertEquals(stableHash(text), hash)
            }
        }

        /**
         * Guards against a hash that changes with the build, as hosts of two builds run at once.
         */
        @Test
        fun `the hash of a text stays`() {
            assertEquals(-3_586_984_135_100_079_204L, stableHash("shop POST /a/ \u00ff"))
        }
    }
}
