package cowslipcart.daemon.http

import kotlinx.serialization.json.Json

/**
 * Finds an object of a JSON text that has a key twice. The text must be valid JSON. Readers differ
 * on which of two values counts, so such a document is refused.
 *
 * @return the key, or null if there is none
 */
internal fun findDuplicateKey(json: String): String? = DuplicateKeyScan(json).run()

private class DuplicateKeyScan(private val json: String) {
    private var position = 0

    /** Keys seen in each open object; null for an open array. */
    private val open = ArrayDeque<MutableSet<String>?>()

    fun run(): String? {
        while (position < json.length) {
            when (json[position]) {
                '{' -> open.addLast(mutableSetOf())

                '[' -> open.addLast(null)

                '}', ']' -> open.removeLast()

                '"' -> {
                    val text = readString()
                    if (isKey() && open.lastOrNull()?.add(text) == false) return text
                    continue
                }
            }
            position++
        }
        return null
    }

    /** Returns the string at [position] without escapes and moves behind it. */
    private fun readString(): String {
        val start = position++
        while (json[position] != '"') position += if (json[position] == '\\') 2 else 1
        val literal = json.substring(start, ++position)
        return if ('\\' in literal) {
            Json.decodeFromString<String>(literal)
        } else {
            literal.substring(1, literal.length - 1)
        }
    }

    private fun isKey(): Boolean {
        var next = position
        while (next < json.length && json[next].isWhitespace()) next++
        return next < json.length && json[next] == ':'
    }
}
