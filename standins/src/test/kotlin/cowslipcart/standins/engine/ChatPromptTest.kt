package cowslipcart.standins.engine

import cowslipcart.core.membership.stableHash
import cowslipcart.core.model.PrefixBlock
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotEquals
import org.junit.jupiter.api.Nested

/** Guards against answers and prefix hashes that do not identify the prompt. */
class ChatPromptTest {
    /** Returns a prompt whose text has [words] words, the role included. */
    private fun prompt(words: Int, last: String = "end"): ChatPrompt {
        val content = List(words - 2) { "x$it" } + last
        return ChatPrompt(listOf(ChatMessage("user", content.joinToString(" "))))
    }

    @Nested
    inner class Answer {
        @Test
        fun `starts with the hash of the content`() {
            val prompt = prompt(3)

            assertEquals("${prompt.contentHash} w0 w1", prompt.answer(3))
        }

        @Test
        fun `differs when a role or a message boundary differs`() {
            val answers = listOf(
                listOf(ChatMessage("user", "a b")),
                listOf(ChatMessage("system", "a b")),
                listOf(ChatMessage("user", "a"), ChatMessage("user", "b"))
            ).map { ChatPrompt(it).answer(1) }

            assertEquals(3, answers.toSet().size)
        }
    }

    @Nested
    inner class PrefixBlocks {
        @Test
        fun `hashes are those that callers compute`() {
            var hash = 0L
            (listOf("user:") + List(62) { "x$it" } + "end").forEach {
                hash = stableHash("$hash $it")
            }

            assertEquals(listOf(PrefixBlock(hash)), prompt(64).prefixBlocks)
        }

        @Test
        fun `only whole blocks have a hash`() {
            assertEquals(1, prompt(127).prefixBlocks.size)
            assertEquals(2, prompt(128).prefixBlocks.size)
        }

        @Test
        fun `a block depends on the words before it and not on those after it`() {
            val first = prompt(128).prefixBlocks
            val second = prompt(128, last = "other").prefixBlocks

            assertEquals(first[0], second[0])
            assertNotEquals(first[1], second[1])
        }
    }
}
