package cowslipcart.daemon.http

/**
 * Whether objects and arrays of [json] are nested deeper than [maxDepth]. The text need not be
 * valid JSON: the check runs before a recursive parser could overflow the stack on it.
 */
internal fun isNestedDeeper(json: String, maxDepth: Int): Boolean {
    var depth = 0
    var isInString = false
    var position = 0
    while (position < json.length) {
        when (json[position]) {
            '"' -> isInString = !isInString
            '\\' -> if (isInString) position++
            '{', '[' -> if (!isInString && ++depth > maxDepth) return true
            '}', ']' -> if (!isInString) depth--
        }
        position++
    }
    return false
}
