package cowslipcart.daemon.http

import kotlinx.serialization.json.Json

/**
 * Returns the first key that occurs twice in one object of a JSON text, or null if there is none.
 * The text must be valid JSON. Parsers differ on which of the two values counts, so callers refuse
 * such a document.
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

    /** Returns the unescaped string at [position] and moves [position] past it. */
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
