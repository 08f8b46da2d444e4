package cowslipcart.core.capacity

import cowslipcart.core.model.EndpointId

/** The few endpoints with the least cost of one choice, for the log. */
internal class NearestCandidates {
    private val states = arrayOfNulls<EndpointState>(SIZE)
    private val costsMs = DoubleArray(SIZE)
    private var count = 0

    fun clear() {
        count = 0
    }

    fun offer(state: EndpointState, costMs: Double) {
        if (count == SIZE && costMs >= costsMs[SIZE - 1]) return
        var position = if (count < SIZE) count++ else SIZE - 1
        while (position > 0 && costsMs[position - 1] > costMs) {
            states[position] = states[position - 1]
            costsMs[position] = costsMs[position - 1]
            position--
        }
        states[position] = state
        costsMs[position] = costMs
    }

    fun toList(): List<EndpointId> = List(count) { states[it]!!.spec.id }

    private companion object {
        const val SIZE = 4
    }
}
