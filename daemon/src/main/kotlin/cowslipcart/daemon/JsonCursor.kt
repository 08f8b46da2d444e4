package cowslipcart.daemon

import kotlinx.serialization.json.Json

/** A position in [json], a valid JSON text. It moves without recursion, however deep it nests. */
public class JsonCursor(private val json: String) {
    private var position = 0

    /** Whether the whole text has been passed. */
    public val isAtEnd: Boolean get() = position >= json.length

    /** Returns the character at the position, and moves past it. */
    public fun next(): Char = json[position++]

    /** Returns the unescaped string whose opening quote was the last character, and moves past. */
    public fun readString(): String {
        val start = position - 1
        while (json[position] != '"') position += if (json[position] == '\\') 2 else 1
        val literal = json.substring(start, ++position)
        return if ('\\' in literal) {
            Json.decodeFromString<String>(literal)
        } else {
            literal.substring(1, literal.length - 1)
        }
    }

    /** Moves past white space and [expected] if that comes next; returns whether it does. */
    public fun skip(expected: Char): Boolean {
        skipWhiteSpace()
        if (isAtEnd || json[position] != expected) return false
        position++
        return true
    }

    /** Whether [expected] comes next, after white space. */
    public fun isNext(expected: Char): Boolean {
        skipWhiteSpace()
        return !isAtEnd && json[position] == expected
    }

    private fun skipWhiteSpace() {
        while (!isAtEnd && json[position].isWhitespace()) position++
    }
}
