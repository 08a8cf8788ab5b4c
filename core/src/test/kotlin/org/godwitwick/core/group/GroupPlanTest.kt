package org.godwitwick.core.group

import org.godwitwick.core.error.ErrorKind
import org.godwitwick.core.model.InstanceId
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import kotlin.random.Random

/**
 * Guards against segments that omit text or exceed a member's memory, and against reservation orders that deadlock two groups.
 */
class GroupPlanTest {
    @Test
    fun `every plan covers the prompt exactly once and fits the memory of its members`() {
        val random = Random(3)
        repeat(2_000) {
            val members = List(random.nextInt(2, 7)) {
                GroupMember(InstanceId("e$it"), random.nextInt(50_000, 400_000))
            }.shuffled(random)
            val chars = random.nextInt(200_000, 4_000_000)
            val plan = planGroup(chars, 1_000, members).component1() ?: return@repeat
            val ends = plan.segments.map { it.endChar }
            expectThat(plan.segments.map { it.startChar }).isEqualTo(listOf(0) + ends.dropLast(1))
            expectThat(ends.last()).isEqualTo(chars)
            expectThat(plan.segments.size in MIN_GROUP_MEMBERS..MAX_GROUP_MEMBERS).isEqualTo(true)
            plan.segments.forEach { segment ->
                val capacity = members.first { it.id == segment.member }.kvCapacityTokens
                expectThat(segment.holdTokens <= capacity).isEqualTo(true)
            }
            val order = plan.reservationOrder.map { it.member.value }
            expectThat(order).isEqualTo(order.sorted())
        }
    }

    @Test
    fun `a plan uses the smallest number of engines that holds the prompt with headroom`() {
        val members = List(5) { GroupMember(InstanceId("e$it"), 400_000) }
        val sizes = listOf(500_000, 700_000, 1_000_000).map { planGroup(it * 4, 1_000, members).component1()!!.segments.size }
        expectThat(sizes).isEqualTo(listOf(2, 3, 4))
    }

    @Test
    fun `a plan is refused when four engines cannot hold the prompt or only one engine is available`() {
        val members = List(8) { GroupMember(InstanceId("e$it"), 100_000) }
        expectThat(planGroup(1_000_000 * 4, 10, members).component2()?.kind).isEqualTo(ErrorKind.OVERLOADED)
        expectThat(planGroup(1_000, 10, members.take(1)).component2()?.kind).isEqualTo(ErrorKind.OVERLOADED)
    }
}
