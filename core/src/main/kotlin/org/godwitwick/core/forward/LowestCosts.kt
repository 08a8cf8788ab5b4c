package org.godwitwick.core.forward

/** Keeps the [count] lowest of the costs that are offered, at less cost than sorting all of them. Not thread safe. */
internal class LowestCosts(private val count: Int) {
    private val costs = DoubleArray(count)
    private val kept = IntArray(count)
    private var size = 0

    /** Offers the [cost] of the candidate at [index]; of equal costs, the one that is offered first is kept. */
    fun offer(index: Int, cost: Double) {
        if (size == count && !(cost < costs[size - 1])) return
        var position = if (size < count) size++ else size - 1
        while (position > 0 && cost < costs[position - 1]) {
            costs[position] = costs[position - 1]
            kept[position] = kept[position - 1]
            position--
        }
        costs[position] = cost
        kept[position] = index
    }

    /** The indices of the lowest costs, the lowest first. */
    val indices: List<Int> get() = kept.asList().subList(0, size)
}
