package cowslipcart.core.capacity

import cowslipcart.core.model.GrantId
import kotlin.random.Random

/**
 * Generates grant ids. The random prefix makes them distinct from those of earlier owners of the
 * shard, whose grants this owner may adopt.
 */
internal class GrantIds(random: Random) {
    private val prefix = random.nextLong().toULong().toString(16)
    private var count = 0L

    fun next(): GrantId = GrantId("$prefix-${count++}")
}
