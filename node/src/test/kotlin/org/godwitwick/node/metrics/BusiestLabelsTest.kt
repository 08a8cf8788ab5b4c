package org.godwitwick.node.metrics

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/** Guards against an unbounded number of label values, and against series of names that are no longer among the busiest. */
class BusiestLabelsTest {
    @Test
    fun `a name beyond the limit shares the label other`() {
        val labels = BusiestLabels(limit = 2)
        listOf("a", "b", "c").forEach(labels::count)
        expectThat(listOf("a", "b", "c").map { labelOf(labels, it) }).isEqualTo(listOf("a", "b", "other"))
    }

    @Test
    fun `a busier name replaces an idle one, whose series are removed`() {
        val removed = mutableListOf<String>()
        val labels = BusiestLabels(limit = 1, usesPerRanking = 4, onRemoved = removed::add)
        listOf("idle", "busy", "busy", "busy").forEach(labels::count)
        expectThat(labelOf(labels, "busy")).isEqualTo("busy")
        expectThat(labelOf(labels, "idle")).isEqualTo("other")
        expectThat(removed).isEqualTo(mutableListOf("idle"))
    }

    @Test
    fun `a name that is used as often as a labelled one does not replace it`() {
        val labels = BusiestLabels(limit = 1, usesPerRanking = 4)
        listOf("first", "second", "first", "second").forEach(labels::count)
        expectThat(labelOf(labels, "first")).isEqualTo("first")
    }

    private fun labelOf(labels: BusiestLabels, name: String): String {
        var label = ""
        labels.withLabel(name) { label = it }
        return label
    }
}
