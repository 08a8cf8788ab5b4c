package org.godwitwick.core.forward

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import kotlin.random.Random

class UpstreamListTest {
    // The ids Aa and BB have the same hash.
    private val entries = (listOf("Aa", "BB", "AaAa", "BBBB", "AaBB", "a/b") + (1..40).map { "engine-$it" }).map { upstream(it) }

    // Guards against instances that share different engines because they have read the registrations in different orders.
    @Test
    fun `the order depends on the ids only`() {
        val lists = (1..20).map { UpstreamList.of(entries.shuffled(Random(it))).toList() }
        expectThat(lists.toSet()).isEqualTo(setOf(entries.sortedWith(UpstreamList.ORDER)))
    }

    // Guards against requests to an upstream that was tried before, is leaving or has used up its limit.
    @Test
    fun `a list without some upstreams has all others in the same order`() {
        val random = Random(1)
        repeat(200) {
            val first = entries.shuffled(random).take(random.nextInt(entries.size)).toSet()
            val second = entries.shuffled(random).take(random.nextInt(entries.size)).toSet()
            val without = UpstreamList.of(entries).without(first.map { it.processKey }).without(second.map { it.processKey })
            expectThat(without.toList()).isEqualTo((entries - first - second).sortedWith(UpstreamList.ORDER))
        }
    }

    @Test
    fun `an earlier process of an upstream is not left out in place of the present one`() {
        val list = UpstreamList.of(entries)
        expectThat(list.without(listOf("Aa/7", "gone/1", "none")).toList()).isEqualTo(list.toList())
        expectThat((list - upstream("BB")).toList()).isEqualTo(list.toList() - upstream("BB"))
    }
}
