package cowslipcart.standins.load

import cowslipcart.standins.engine.ChatMessage
import cowslipcart.standins.engine.ChatPrompt
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import org.junit.jupiter.api.Nested

/** Guards against a check that accepts an incomplete, reordered or foreign answer as complete. */
class AnswerCheckTest {
    private val prompt = ChatPrompt(listOf(ChatMessage("user", "mine")))
    private val other = ChatPrompt(listOf(ChatMessage("user", "yours")))

    private fun faultOf(
        tokens: List<Int>,
        from: ChatPrompt = prompt,
        isEnded: Boolean = true
    ): AnswerFault? {
        val check = AnswerCheck(prompt, maxTokens = 3)
        tokens.forEach { check.add(it, from.answerToken(it)) }
        if (isEnded) check.end()
        return check.findFault()
    }

    @Nested
    inner class FindFault {
        @Test
        fun `a complete answer has no fault`() {
            assertNull(faultOf(listOf(0, 1, 2)))
        }

        @Test
        fun `the answer to another request is a wrong text`() {
            assertEquals(AnswerFault.WRONG_TEXT, faultOf(listOf(0, 1, 2), from = other))
        }

        @Test
        fun `a missing or repeated token is a wrong text`() {
            assertEquals(AnswerFault.WRONG_TEXT, faultOf(listOf(0, 2)))
            assertEquals(AnswerFault.WRONG_TEXT, faultOf(listOf(0, 0, 1, 2)))
        }

        @Test
        fun `a short answer is truncated even with an end mark`() {
            assertEquals(AnswerFault.TRUNCATED, faultOf(listOf(0, 1)))
        }

        @Test
        fun `an answer without end mark has not ended`() {
            assertEquals(AnswerFault.NOT_ENDED, faultOf(listOf(0, 1, 2), isEnded = false))
        }

        @Test
        fun `the expected text with wrong sequence numbers has a sequence fault`() {
            val check = AnswerCheck(prompt, maxTokens = 3)
            (0..2).forEach { check.add(it + 1, prompt.answerToken(it)) }

            assertEquals(AnswerFault.SEQUENCE, check.findFault())
        }
    }
}
