package cowslipcart.systemtest.crowd

import kotlin.test.AfterTest
import kotlin.test.Test
import org.junit.jupiter.api.Nested

/**
 * Guards against a gateway that keeps bodies far over the limit, or what their clients go on to
 * send after the refusal.
 */
class OversizedBodyCrowdTest {
    private val fixture = CrowdFixture()

    @AfterTest
    fun stop() = fixture.close()

    private fun assertOutlives(framing: String, body: Sequence<ByteArray>) = fixture.assertOutlives(
        List(CLIENTS) {
            CrowdScript(
                sequenceOf(requestHead("oversized-$it", framing)) + body,
                Ending.StaysOpen
            )
        }
    )

    @Nested
    inner class FarOverTheLimit {
        @Test
        fun `a body whose length is announced`() =
            assertOutlives("Content-Length: 1000000000000\r\n", bodyPieces(SENT_BYTES, PIECE_BYTES))

        @Test
        fun `bytes without an announcement`() =
            assertOutlives("", bodyPieces(SENT_BYTES, PIECE_BYTES))

        @Test
        fun `a body in chunks without an end`() =
            assertOutlives(CHUNKED, chunks(SENT_BYTES, PIECE_BYTES))

        @Test
        fun `a body in one chunk whose length is announced`() = assertOutlives(
            CHUNKED,
            sequenceOf("7fffffff\r\n".toByteArray()) + bodyPieces(SENT_BYTES, PIECE_BYTES)
        )
    }

    private companion object {
        const val CLIENTS = 48
        const val CHUNKED = "Transfer-Encoding: chunked\r\n"
        const val PIECE_BYTES = 65_536

        /** 32 times the largest legal body. */
        val SENT_BYTES = 32L * CrowdMachine.LOWERED.bodyBytes
    }
}
