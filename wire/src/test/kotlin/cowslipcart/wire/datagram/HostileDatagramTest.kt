package cowslipcart.wire.datagram

import java.util.concurrent.FutureTask
import kotlin.test.Test
import kotlin.test.assertTrue
import org.junit.jupiter.api.Nested

/**
 * Guards against a datagram that ends the receipt of all others: one that nests deeper than the
 * stack of a thread allows, or that states a length for which no memory is left.
 */
class HostileDatagramTest {
    /** Whether each kind of datagram with [body] is unreadable, on a stack as a gateway has it. */
    private fun assertUnreadable(name: String, body: ByteArray) {
        for (kind in KINDS) {
            val task = FutureTask { DatagramCodec.decode(byteArrayOf(kind) + body).isLeft() }
            Thread(null, task, "small-stack", STACK_BYTES).start()
            assertTrue(task.get(), "kind $kind, $name")
        }
    }

    private fun bytes(vararg values: Int) = ByteArray(values.size) { values[it].toByte() }

    private fun nested(value: Int) = ByteArray(LEVELS) { value.toByte() }

    @Nested
    inner class Nesting {
        @Test
        fun `deep nesting is unreadable`() {
            val map = bytes(0xa1, 0x01)
            val maps = ByteArray(LEVELS) { map[it % map.size] }
            assertUnreadable("lists", nested(0x81))
            assertUnreadable("lists without a length", nested(0x9f))
            assertUnreadable("maps", maps)
            assertUnreadable("maps without a length", nested(0xbf))
            assertUnreadable("tags", nested(0xc1))
            // The nesting begins at the second element, where a field of the document is due.
            assertUnreadable("lists in a field", bytes(0x8f, 0x04) + nested(0x81))
            assertUnreadable("tags in a field", bytes(0x8f, 0x04) + nested(0xc1))
        }
    }

    @Nested
    inner class Lengths {
        private val longest = bytes(0x7f, 0xff, 0xff, 0xff)

        @Test
        fun `a length beyond the datagram is unreadable`() {
            for (major in listOf(0x5a, 0x7a, 0x9a, 0xba)) {
                val header = bytes(major) + longest
                assertUnreadable("length $major", header)
                assertUnreadable("length $major in a field", bytes(0x8f, 0x04) + header)
                assertUnreadable("length $major in a list", bytes(0x9f, 0x04, 0x61, 0x61) + header)
            }
        }

        @Test
        fun `a list whose length is beyond the datagram is unreadable`() {
            // The fields of a load report up to its first list, which states the length.
            val report = bytes(0x8c, 0x04, 0x61, 0x61, 0x01, 0x01, 0x61, 0x61) +
                bytes(0xfb, 0x3f, 0xf0, 0, 0, 0, 0, 0, 0, 0xf4, 0x9a) + longest
            assertUnreadable("list of loads", report)
        }
    }

    private companion object {
        /** Load reports, updates, bundles and roll-outs, and kinds that are not known. */
        val KINDS = (0..16).map { it.toByte() }
        const val LEVELS = 60_000
        const val STACK_BYTES = 262_144L
    }
}
