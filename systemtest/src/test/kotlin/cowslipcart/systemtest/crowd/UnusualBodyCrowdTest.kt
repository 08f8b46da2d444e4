package cowslipcart.systemtest.crowd

import kotlin.test.AfterTest
import kotlin.test.Test
import org.junit.jupiter.api.Nested

/**
 * Guards against a gateway that ends for want of memory when many send large bodies in less usual
 * ways.
 */
class UnusualBodyCrowdTest {
    private val fixture = CrowdFixture()
    private val bodyBytes = CrowdMachine.LOWERED.bodyBytes

    @AfterTest
    fun stop() = fixture.close()

    private fun body(sentBytes: Int) = bodyPieces(sentBytes.toLong(), PIECE_BYTES)

    private fun length(bytes: Int) = "Content-Length: $bytes\r\n"

    @Nested
    inner class LargeBodies {
        @Test
        fun `bodies behind an Expect header that stop short of their last byte`() =
            fixture.assertOutlives(
                List(CLIENTS) {
                    val framing = "Expect: 100-continue\r\n${length(bodyBytes)}"
                    CrowdScript(
                        sequenceOf(requestHead("expect-$it", framing)) + body(bodyBytes - 1),
                        Ending.StaysOpen,
                        awaitsContinue = true
                    )
                }
            )

        @Test
        fun `requests pipelined behind a large body`() = fixture.assertOutlives(
            List(CLIENTS) { client ->
                val requests = (1..PIPELINED).map { number ->
                    sequenceOf(requestHead("pipelined-$client-$number", length(bodyBytes))) +
                        body(bodyBytes)
                }
                CrowdScript(requests.asSequence().flatten(), Ending.StaysOpen)
            }
        )
    }

    private companion object {
        const val CLIENTS = 48
        const val PIPELINED = 8
        const val PIECE_BYTES = 65_536
    }
}
