package cowslipcart.systemtest.crowd

import kotlin.test.AfterTest
import kotlin.test.Test
import org.junit.jupiter.api.Nested

/**
 * Guards against a gateway that ends for want of memory when many send chunked bodies at once. The
 * length of such a body is known only when it has ended.
 */
class ChunkedBodyCrowdTest {
    private val fixture = CrowdFixture()

    @AfterTest
    fun stop() = fixture.close()

    private fun stalled(id: String, bodyBytes: Long, chunkBytes: Int) = CrowdScript(
        sequenceOf(requestHead(id, CHUNKED)) + chunks(bodyBytes, chunkBytes),
        Ending.StaysOpen
    )

    private fun whole(id: String, bodyBytes: Long, chunkBytes: Int) = CrowdScript(
        sequenceOf(requestHead(id, CHUNKED)) + chunks(bodyBytes, chunkBytes) +
            sequenceOf(LAST_CHUNK),
        Ending.ReadsAnswers
    )

    private fun wholeScripts(bodyBytes: Long, chunkBytes: Int) =
        List(CLIENTS) { whole("body-$it", bodyBytes, chunkBytes) }

    private fun stalledScripts(bodyBytes: Long, chunkBytes: Int) =
        List(STALLED) { stalled("stalled-$it", bodyBytes, chunkBytes) } +
            wholeScripts(bodyBytes, chunkBytes).take(CLIENTS - STALLED)

    @Nested
    inner class OfLegalSize {
        @Test
        fun `bodies in large chunks`() =
            fixture.assertOutlives(wholeScripts(LARGEST_BODY_BYTES, LARGE_CHUNK_BYTES))

        @Test
        fun `bodies in chunks of one byte`() =
            fixture.assertOutlives(wholeScripts(FINE_BODY_BYTES, 1))

        @Test
        fun `bodies in large chunks that mostly lack their last chunk`() =
            fixture.assertOutlives(stalledScripts(LARGEST_BODY_BYTES, LARGE_CHUNK_BYTES))

        @Test
        fun `bodies in chunks of one byte that mostly lack their last chunk`() =
            fixture.assertOutlives(stalledScripts(FINE_BODY_BYTES, 1))
    }

    private companion object {
        const val CLIENTS = 48
        const val STALLED = 40
        const val CHUNKED = "Transfer-Encoding: chunked\r\n"
        const val LARGE_CHUNK_BYTES = 65_536

        /** Takes 6 times as many bytes in chunks of one byte. */
        const val FINE_BODY_BYTES = 524_288L
        val LARGEST_BODY_BYTES = CrowdMachine.LOWERED.bodyBytes.toLong()
        val LAST_CHUNK = "0\r\n\r\n".toByteArray()
    }
}
