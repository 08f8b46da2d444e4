package cowslipcart.daemon.http

import cowslipcart.daemon.JsonCursor

/**
 * Returns the first key that occurs twice in one object of a JSON text, or null if there is none.
 * The text must be valid JSON. Parsers differ on which of the two values counts, so callers refuse
 * such a document.
 */
internal fun findDuplicateKey(json: String): String? {
    val cursor = JsonCursor(json)

    // Keys seen in each open object; null for an open array.
    val open = ArrayDeque<MutableSet<String>?>()
    while (!cursor.isAtEnd) {
        when (cursor.next()) {
            '{' -> open.addLast(mutableSetOf())

            '[' -> open.addLast(null)

            '}', ']' -> open.removeLast()

            '"' -> {
                val text = cursor.readString()
                val isKey = cursor.isNext(':')
                if (isKey && open.lastOrNull()?.add(text) == false) return text
            }
        }
    }
    return null
}
