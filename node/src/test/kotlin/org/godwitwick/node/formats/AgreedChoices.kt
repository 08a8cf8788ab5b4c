package org.godwitwick.node.formats

import org.godwitwick.core.forward.LimitNews
import org.godwitwick.core.forward.LoadExchangePlan
import org.godwitwick.core.forward.ReaderPlan
import org.godwitwick.core.forward.UpstreamLimits
import org.godwitwick.core.membership.RowTopic
import org.godwitwick.core.membership.rendezvousHighest
import org.godwitwick.core.membership.rendezvousLowest
import org.godwitwick.core.model.InstanceId
import org.godwitwick.node.forward.RelayOutcome
import org.godwitwick.node.peer.ForwardLoad

/** Choices that each instance makes by itself and that all must make alike, as text with one choice a line. */
internal fun agreedChoices(): String {
    val ids = (1..24).map { InstanceId("entry-$it") }
    val fleet = ids.withIndex().associate { (index, id) -> id to "dc-${index % 3}" }
    val plan = LoadExchangePlan.of(fleet)
    val readers = ReaderPlan.of(fleet)
    val lines = buildList {
        add("lowest ${rendezvousLowest("d1/7", ids, 5)}")
        add("highest ${rendezvousHighest("d1/7", ids)}")
        add("load key ${ForwardLoad.keyOf(InstanceId("e1"))}")
        RowTopic.entries.forEach { add("topic ${it.ordinal} ${it.name} ${it.reach}") }
        RelayOutcome.entries.forEach { add("relay outcome ${it.name} ${it.text}") }
        fleet.values.distinct().forEach { add("collectors of $it ${plan.collectorsOf(it)}") }
        add("direct ${plan.isDirect}")
        add("readers ${readers.readers}")
        listOf(0, 1, 2).forEach { add("sources of ${ids[it]} ${readers.sourcesOf(ids[it], "dc-$it")}") }
        listOf(0.0, 0.5, 2.0, 10.0).forEach { add("senders at $it ${sendersAt(it, ids)}") }
    }
    return lines.joinToString("\n", postfix = "\n")
}

private fun sendersAt(perSecond: Double, ids: List<InstanceId>): List<InstanceId> = ids.filter { self ->
    val limits = UpstreamLimits(self)
    limits.onNews(LimitNews("d1/7", perSecond, ageMs = 0), ids, nowMs = 0)
    limits.waitMs("d1/7", ids, nowMs = 0) != null
}
