package cowslipcart.daemon

/**
 * Parses an IPv4 address and a port, written as IP:PORT in ASCII digits. Returns null for anything
 * else: a host name would be looked up at each connection, and connecting to an unknown one fails
 * with an exception that is no I/O error.
 */
public fun parseIpv4Address(text: String): SocketAddressSetting? {
    val match = IPV4_ADDRESS.matchEntire(text) ?: return null
    val numbers = match.groupValues.drop(1).map { it.toInt() }
    if (numbers.dropLast(1).any { it > MAX_OCTET } || numbers.last() !in PORTS) return null
    return SocketAddressSetting(text.substringBeforeLast(':'), numbers.last())
}

private val IPV4_ADDRESS =
    Regex("([0-9]{1,3})\\.([0-9]{1,3})\\.([0-9]{1,3})\\.([0-9]{1,3}):([0-9]{1,5})")
private const val MAX_OCTET = 255
private val PORTS = 1..65_535
