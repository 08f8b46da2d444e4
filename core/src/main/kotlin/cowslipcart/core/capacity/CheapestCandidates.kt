package cowslipcart.core.capacity

import cowslipcart.core.model.EndpointId

/** The [SIZE] endpoints with the lowest costs in one placement, for the log. */
internal class CheapestCandidates {
    private val endpoints = arrayOfNulls<EndpointState>(SIZE)
    private val costsMs = DoubleArray(SIZE)
    private var count = 0

    fun clear() {
        count = 0
    }

    /** Adds an endpoint if it is among the cheapest so far. */
    fun offer(endpoint: EndpointState, costMs: Double) {
        if (count == SIZE && costMs >= costsMs[SIZE - 1]) return
        var position = if (count < SIZE) count++ else SIZE - 1
        while (position > 0 && costsMs[position - 1] > costMs) {
            endpoints[position] = endpoints[position - 1]
            costsMs[position] = costsMs[position - 1]
            position--
        }
        endpoints[position] = endpoint
        costsMs[position] = costMs
    }

    /** Returns the endpoints, cheapest first. */
    fun toList(): List<EndpointId> = List(count) { endpoints[it]!!.spec.id }

    private companion object {
        const val SIZE = 4
    }
}
