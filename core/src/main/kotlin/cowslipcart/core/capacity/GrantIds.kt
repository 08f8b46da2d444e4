package cowslipcart.core.capacity

import cowslipcart.core.model.GrantId
import kotlin.random.Random

/**
 * Issues grant ids. The random part keeps them apart from those of earlier owners of the shard,
 * whose grants this owner may adopt.
 */
internal class GrantIds(random: Random) {
    private val prefix = random.nextLong().toULong().toString(16)
    private var count = 0L

    fun next(): GrantId = GrantId("$prefix-${count++}")
}
