package org.godwitwick.node.metrics

import java.util.concurrent.locks.ReentrantReadWriteLock
import kotlin.concurrent.read
import kotlin.concurrent.write

/**
 * Limits the number of values of a metric label: the [limit] busiest names are used as label values, all others share [OTHER].
 *
 * Names are ranked again after every [usesPerRanking] counted uses. Each ranking halves the weight of earlier uses.
 *
 * @property onRemoved called with each name that stops being a label value, so that its series can be removed.
 */
class BusiestLabels(
    private val limit: Int,
    private val usesPerRanking: Int = DEFAULT_USES_PER_RANKING,
    private val onRemoved: (String) -> Unit = {},
) {
    private val lock = ReentrantReadWriteLock()
    private val uses = HashMap<String, Double>()
    private val labelled = HashSet<String>()
    private var usesSinceRanking = 0

    /** Counts one use of [name]. */
    fun count(name: String) = lock.write {
        uses.merge(name, 1.0, Double::plus)
        if (labelled.size < limit) labelled.add(name)
        if (++usesSinceRanking >= usesPerRanking) rank()
    }

    /**
     * Calls [action] with the label value of [name]. No ranking runs meanwhile: a value that is written after its series was
     * removed would create the series again, and nothing would remove it.
     */
    fun withLabel(name: String, action: (String) -> Unit) = lock.read { action(if (name in labelled) name else OTHER) }

    private fun rank() {
        usesSinceRanking = 0
        // Names with a label get a bonus, so that two names of about equal use do not replace each other at every ranking.
        val busiest = uses.entries
            .sortedByDescending { (name, count) -> if (name in labelled) count * INCUMBENT_FACTOR else count }
            .take(limit)
            .map { it.key }
            .toSet()
        val removed = labelled - busiest
        labelled.clear()
        labelled.addAll(busiest)
        uses.replaceAll { _, count -> count / 2 }
        uses.values.removeIf { it < MIN_COUNT }
        removed.forEach(onRemoved)
    }

    companion object {
        /** Label value shared by all names that are not among the busiest. */
        const val OTHER = "other"
        private const val DEFAULT_USES_PER_RANKING = 4_096
        private const val INCUMBENT_FACTOR = 1.25
        private const val MIN_COUNT = 0.01
    }
}
