package cowslipcart.systemtest.crowd

import kotlin.test.AfterTest
import kotlin.test.Test
import org.junit.jupiter.api.Nested

/** Guards against a gateway that ends for want of memory when many send large bodies at once. */
class LargeBodyCrowdTest {
    private val fixture = CrowdFixture()
    private val bodyBytes = CrowdMachine.LOWERED.bodyBytes

    @AfterTest
    fun stop() = fixture.close()

    private fun script(id: String, pieceBytes: Int, sentBytes: Int, ending: Ending) = CrowdScript(
        sequenceOf(requestHead(id, "Content-Length: $bodyBytes\r\n")) +
            bodyPieces(sentBytes.toLong(), pieceBytes),
        ending
    )

    private fun wholeScripts(pieceBytes: Int) =
        List(CLIENTS) { script("body-$it", pieceBytes, bodyBytes, Ending.ReadsAnswers) }

    @Nested
    inner class OfLegalSize {
        @Test
        fun `bodies sent whole`() = fixture.assertOutlives(wholeScripts(WHOLE_PIECE_BYTES))

        @Test
        fun `bodies sent in small pieces`() =
            fixture.assertOutlives(wholeScripts(SMALL_PIECE_BYTES))

        @Test
        fun `bodies that mostly stop short of their last byte`() = fixture.assertOutlives(
            List(STALLED) {
                script("stalled-$it", WHOLE_PIECE_BYTES, bodyBytes - 1, Ending.StaysOpen)
            } + wholeScripts(WHOLE_PIECE_BYTES).take(CLIENTS - STALLED)
        )

        @Test
        fun `bodies in small pieces that mostly stop short of their last byte`() =
            fixture.assertOutlives(
                List(STALLED) {
                    script("stalled-$it", SMALL_PIECE_BYTES, bodyBytes - 1, Ending.StaysOpen)
                } + wholeScripts(SMALL_PIECE_BYTES).take(CLIENTS - STALLED)
            )
    }

    private companion object {
        const val CLIENTS = 48
        const val STALLED = 40
        const val WHOLE_PIECE_BYTES = 65_536
        const val SMALL_PIECE_BYTES = 1_024
    }
}
