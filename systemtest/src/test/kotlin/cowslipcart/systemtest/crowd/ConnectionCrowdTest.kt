package cowslipcart.systemtest.crowd

import kotlin.test.AfterTest
import kotlin.test.Test
import org.junit.jupiter.api.Nested

/** Guards against a gateway that opens more descriptors than its machine has. */
class ConnectionCrowdTest {
    private val fixture = CrowdFixture()

    @AfterTest
    fun stop() = fixture.close()

    private fun assertOutlives(first: (id: String) -> ByteArray) = fixture.assertOutlives(
        List(CLIENTS) { CrowdScript(sequenceOf(first("open-$it")), Ending.StaysOpen) }
    )

    @Nested
    inner class MoreThanDescriptors {
        @Test
        fun `connections without a byte`() = assertOutlives { ByteArray(0) }

        @Test
        fun `heads that stop short of their end`() = assertOutlives { id ->
            val head = requestHead(id, "X-Filler: ${"x".repeat(FILLER_BYTES)}\r\n")
            head.copyOf(head.size - 1)
        }

        @Test
        fun `small bodies that stop short of their last byte`() = assertOutlives { id ->
            requestHead(id, "Content-Length: ${BODY_BYTES + 1}\r\n") + ByteArray(BODY_BYTES)
        }
    }

    private companion object {
        /** The machine has 200 sockets. */
        const val CLIENTS = 300
        const val FILLER_BYTES = 15_000
        const val BODY_BYTES = 16_384
    }
}
