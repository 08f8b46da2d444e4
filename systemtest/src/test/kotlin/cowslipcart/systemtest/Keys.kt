package cowslipcart.systemtest

import java.util.UUID
import kotlin.random.Random

/** Returns a UUIDv7 whose time bits are [timeMs] since 1970. */
internal fun newKey(timeMs: Long = System.currentTimeMillis()): String {
    val high = (timeMs shl 16) or 0x7000L or Random.nextLong(0x1000)
    val low = Random.nextLong().ushr(2) or Long.MIN_VALUE
    return UUID(high, low).toString()
}
