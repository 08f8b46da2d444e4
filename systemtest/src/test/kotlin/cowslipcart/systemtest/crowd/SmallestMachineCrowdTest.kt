package cowslipcart.systemtest.crowd

import kotlin.test.AfterTest
import kotlin.test.Test
import org.junit.jupiter.api.Nested

/**
 * Guards against a gateway that ends, or opens too many descriptors, with the start line of its
 * deployment on the smallest machine.
 */
class SmallestMachineCrowdTest {
    private val machine = CrowdMachine.SMALLEST
    private val fixture = CrowdFixture(machine)

    @AfterTest
    fun stop() = fixture.close()

    private fun script(id: String, framing: String, body: Sequence<ByteArray>, ending: Ending) =
        CrowdScript(sequenceOf(requestHead(id, framing)) + body, ending)

    @Nested
    inner class Deployed {
        @Test
        fun `large bodies sent whole`() = fixture.assertOutlives(
            List(BODIES) {
                val body = bodyPieces(machine.bodyBytes.toLong(), PIECE_BYTES)
                script(
                    "body-$it",
                    "Content-Length: ${machine.bodyBytes}\r\n",
                    body,
                    Ending.ReadsAnswers
                )
            }
        )

        @Test
        fun `large bodies in chunks that stop short of their end`() = fixture.assertOutlives(
            List(BODIES) {
                val body = chunks(machine.bodyBytes.toLong(), PIECE_BYTES)
                script("body-$it", "Transfer-Encoding: chunked\r\n", body, Ending.StaysOpen)
            }
        )

        @Test
        fun `more connections than descriptors`() = fixture.assertOutlives(
            List(CONNECTIONS) {
                val body = bodyPieces(SMALL_BODY_BYTES - 1, PIECE_BYTES)
                script(
                    "open-$it",
                    "Content-Length: $SMALL_BODY_BYTES\r\n",
                    body,
                    Ending.StaysOpen
                )
            }
        )
    }

    private companion object {
        const val BODIES = 48
        const val CONNECTIONS = 2_400
        const val PIECE_BYTES = 65_536
        const val SMALL_BODY_BYTES = 4_096L
    }
}
