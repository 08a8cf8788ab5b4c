package org.godwitwick.core.health

import org.godwitwick.core.model.InstanceId
import org.godwitwick.core.model.ListedInstance
import org.godwitwick.core.model.ListedState

/** Which engines are leaving, from the instance list or from load reports, whichever says so first. Not thread safe. */
class LeavingMarks {
    private var listed = emptySet<InstanceId>()
    private val reported = HashMap<InstanceId, String>()

    /** Engines that must receive no new work. */
    val leaving: Set<InstanceId> get() = listed + reported.keys

    /** Takes over the rows of the instance list. */
    fun onList(rows: List<ListedInstance>) {
        listed = rows.filter { it.state == ListedState.LEAVING }.map { it.id }.toSet()
        reported.keys.retainAll(rows.map { it.id }.toSet())
    }

    /**
     * Takes over a load report, also one that a peer passed on. A mark ends only with another incarnation, because reports of one
     * incarnation may arrive out of order.
     */
    fun onLoad(engine: InstanceId, report: LoadReport) {
        when {
            report.leaving -> reported[engine] = report.incarnation
            reported[engine] != report.incarnation -> reported.remove(engine)
        }
    }

    /** Whether [engine] must receive no new work. */
    fun isLeaving(engine: InstanceId): Boolean = engine in listed || engine in reported
}
