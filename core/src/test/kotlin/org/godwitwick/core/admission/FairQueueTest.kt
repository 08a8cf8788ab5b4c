package org.godwitwick.core.admission

import org.godwitwick.core.model.OrganisationId
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import kotlin.random.Random

class FairQueueTest {
    private fun organisation(i: Int) = OrganisationId("o$i")

    // Guards against one organisation with large items that takes capacity from many with small ones.
    @Test
    fun `organisations with queued items receive equal work regardless of item size`() {
        val random = Random(11)
        val queue = FairQueue<Int>(4_000) { 1.0 }
        repeat(5_000) { queue.add(QueuedItem(organisation(0), 20_000L + random.nextLong(20_000), 0, it)) }
        for (i in 1..9) repeat(2_000) { queue.add(QueuedItem(organisation(i), 500 + random.nextLong(3_000), 0, it)) }
        val served = HashMap<OrganisationId, Long>()
        repeat(4_000) { queue.take()?.let { served.merge(it.organisation, it.workTokens, Long::plus) } }
        val small = (1..9).map { served.getValue(organisation(it)) }
        expectThat(served.getValue(organisation(0)).toDouble() / small.average()).isLessThan(1.1).isGreaterThan(0.9)
    }

    // Guards against configured weights that have no effect.
    @Test
    fun `work is proportional to the weights`() {
        val queue = FairQueue<Int>(4_000) { if (it == organisation(0)) 3.0 else 1.0 }
        for (i in 0..1) repeat(4_000) { queue.add(QueuedItem(organisation(i), 1_000, 0, it)) }
        val served = (1..4_000).mapNotNull { queue.take() }.groupingBy { it.organisation }.eachCount()
        expectThat(served).isEqualTo(mapOf(organisation(0) to 3_000, organisation(1) to 1_000))
    }

    // Guards against starvation of an organisation whose only item needs grants from many turns.
    @Test
    fun `a very large item is taken while small ones keep arriving`() {
        val queue = FairQueue<Int>(4_000) { 1.0 }
        queue.add(QueuedItem(organisation(0), 1_000_000, 0, 0))
        repeat(10) { queue.add(QueuedItem(organisation(1), 4_000, 0, it)) }
        val taken = generateSequence {
            queue.add(QueuedItem(organisation(1), 4_000, 0, 0))
            queue.take()
        }.take(300)
        expectThat(taken.indexOfFirst { it.organisation == organisation(0) }).isGreaterThan(-1)
    }

    // Guards against a flood from one organisation that displaces requests of others from a full queue.
    @Test
    fun `shedding removes the newest item of the organisation with the most queued work`() {
        val queue = FairQueue<Int>(4_000) { 1.0 }
        repeat(5) { queue.add(QueuedItem(organisation(0), 4_000, it.toLong(), it)) }
        queue.add(QueuedItem(organisation(1), 4_000, 9, 9))
        expectThat(queue.shedHeaviest()?.item).isEqualTo(4)
        expectThat(queue.size).isEqualTo(5)
    }
}
