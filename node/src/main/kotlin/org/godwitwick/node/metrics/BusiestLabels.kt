package org.godwitwick.node.metrics

import java.util.concurrent.locks.ReentrantReadWriteLock
import kotlin.concurrent.read
import kotlin.concurrent.write

/**
 * Bounds the values of one label: the [limit] busiest names keep their own value, all others share [OTHER].
 *
 * Names are ranked again after every [rankEvery] counted uses; older uses count half as much at each ranking.
 *
 * @property onRemoved called with a name that lost its own value, so that its series can be removed.
 */
class BusiestLabels(
    private val limit: Int,
    private val rankEvery: Int = RANK_EVERY_USES,
    private val onRemoved: (String) -> Unit = {},
) {
    private val lock = ReentrantReadWriteLock()
    private val uses = HashMap<String, Double>()
    private val named = HashSet<String>()
    private var usesSinceRanking = 0

    /** Counts one use of [name]. */
    fun count(name: String) = lock.write {
        uses.merge(name, 1.0, Double::plus)
        if (named.size < limit) named.add(name)
        if (++usesSinceRanking >= rankEvery) rank()
    }

    /**
     * Calls [action] with the label value of [name]. No ranking runs meanwhile: a value that is written after its series was removed
     * would bring the series back for good.
     */
    fun withLabel(name: String, action: (String) -> Unit) = lock.read { action(if (name in named) name else OTHER) }

    private fun rank() {
        usesSinceRanking = 0
        // A named one counts a little more, so that two names of equal use don't replace each other at every ranking.
        val busiest = uses.entries
            .sortedByDescending { (name, count) -> if (name in named) count * NAMED_FACTOR else count }
            .take(limit)
            .map { it.key }
            .toSet()
        val removed = named - busiest
        named.clear()
        named.addAll(busiest)
        uses.replaceAll { _, count -> count / 2 }
        uses.values.removeIf { it < LEAST_COUNT }
        removed.forEach(onRemoved)
    }

    companion object {
        /** Label value of all names without a value of their own. */
        const val OTHER = "other"
        private const val RANK_EVERY_USES = 4_096
        private const val NAMED_FACTOR = 1.25
        private const val LEAST_COUNT = 0.01
    }
}
