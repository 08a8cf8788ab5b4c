package org.godwitwick.core.membership

import org.godwitwick.core.model.InstanceId
import org.godwitwick.core.model.ListedInstance
import org.godwitwick.core.model.ListedKind
import org.godwitwick.core.model.ListedState
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isLessThan
import strikt.assertions.isTrue

class MembershipTest {
    private fun listed(id: String, state: ListedState = ListedState.LIVE) = ListedInstance(
        InstanceId(id),
        ListedKind.ENTRY,
        address = "a",
        peerAddress = "p:$id",
        region = "r",
        dataCentre = "d",
        state = state,
    )

    private fun beat(id: String, heardAtMs: Long, incarnation: Long = 1) =
        Heartbeat(InstanceId(id), incarnation, "r", "d", "b:$id", isLeaving = false, heardAtMs = heardAtMs)

    // Guards against assigning roles to listed instances that are down, and against ignoring live instances that are not listed
    // yet.
    @Test
    fun `list and heartbeats together decide the state of a member`() {
        val list = listOf(listed("new"), listed("dead"), listed("gone", ListedState.LEAVING), listed("up"))
        val beats = listOf(beat("dead", 1_000), beat("gone", 5_000), beat("up", 5_000), beat("early", 5_000), beat("past", 1_000))
        val states = mergeMembers(list, beats, nowMs = 5_000).associate { it.id.value to it.state }
        expectThat(states).isEqualTo(
            mapOf(
                "new" to MemberState.PRESUMED,
                "dead" to MemberState.SILENT,
                "gone" to MemberState.LEAVING,
                "up" to MemberState.LIVE,
                "early" to MemberState.LIVE,
            ),
        )
    }

    // Guards against a late heartbeat from before a restart replacing one from after it.
    @Test
    fun `the newest incarnation counts`() {
        val member = mergeMembers(listOf(listed("a")), listOf(beat("a", 4_000, 2), beat("a", 5_000, 1)), 5_000).single()
        expectThat(member.incarnation).isEqualTo(2)
    }

    // Guards against all roles being assigned to one instance, and against roles that move when an unrelated instance leaves.
    @Test
    fun `roles are spread and stable when others leave`() {
        val ids = List(14) { InstanceId("entry-$it") }
        val replicas = List(700) { "engine-$it" }
        val before = replicas.associateWith { rendezvousHighest(it, ids) }
        val after = replicas.associateWith { rendezvousHighest(it, ids.drop(1)) }
        expectThat(replicas.filter { before[it] != ids[0] && before[it] != after[it] }).isEmpty()
        expectThat(before.values.groupingBy { it }.eachCount().values.max()).isLessThan(90)
        expectThat(rendezvousLowest("tailer/d", ids, 2)).hasSize(2)
    }

    // Guards against an instance admitting work after a pause, based on state from before the pause.
    @Test
    fun `a gap of more than 2 s is a pause`() {
        val detector = PauseDetector(0)
        expectThat(detector.tick(2_000)).isFalse()
        expectThat(detector.tick(4_001)).isTrue()
        expectThat(detector.tick(4_002)).isFalse()
    }

    // Guards against outdated and expired rows, and against rows from before a restart of their owner, replacing newer ones.
    @Test
    fun `the highest version of a row wins in any order of arrival and old rows expire`() {
        val key = RowKey(RowTopic.DEMAND, InstanceId("a"), "")
        val rows = listOf(rowVersion(1, 5), rowVersion(1, 6), rowVersion(2, 0)).map { VersionedRow(key, it, 0, ByteArray(0)) }
        listOf(rows, rows.reversed(), listOf(rows[1], rows[2], rows[0])).forEach { order ->
            val table = RowTable()
            order.forEach { table.merge(it, 0) }
            expectThat(table.ofTopic(RowTopic.DEMAND).map { it.version }).containsExactly(rowVersion(2, 0))
            table.expire(RowTopic.DEMAND.maxAgeMs + 1)
            expectThat(table.ofTopic(RowTopic.DEMAND)).isEmpty()
        }
    }
}
