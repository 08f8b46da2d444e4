package cowslipcart.systemtest.crowd

import cowslipcart.systemtest.GatewayCluster
import kotlin.test.AfterTest
import kotlin.test.Test
import org.junit.jupiter.api.Nested

/**
 * Guards against a gateway that ends for want of memory with answers that their clients do not
 * read.
 */
class SlowReaderCrowdTest {
    private val fixture = CrowdFixture()
    private val answers = LargeAnswerRunner(ANSWER_BYTES)

    @AfterTest
    fun stop() {
        fixture.close()
        answers.close()
    }

    private fun registerAnswers(cluster: GatewayCluster) =
        cluster.register("model-1", answers.address, "model", "ready", slots = CLIENTS)

    @Nested
    inner class LargeAnswers {
        @Test
        fun `clients that do not read their answers`() = fixture.assertOutlives(
            List(CLIENTS) {
                val id = "unread-$it"
                CrowdScript(
                    sequenceOf(requestHead(id, HEADERS, "/chat/$id")),
                    Ending.StaysOpen,
                    receiveBufferBytes = SMALL_BUFFER_BYTES
                )
            },
            ::registerAnswers
        )
    }

    private companion object {
        const val CLIENTS = 48
        const val SMALL_BUFFER_BYTES = 4_096
        const val ANSWER_BYTES = 2 * 1_024 * 1_024
        const val HEADERS = "Content-Length: 0\r\nToken-Count: 600,80\r\nModel: m\r\n" +
            "Prompt-Prefix: a1:600\r\n"
    }
}
