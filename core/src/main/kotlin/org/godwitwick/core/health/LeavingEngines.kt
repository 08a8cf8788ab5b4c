package org.godwitwick.core.health

import org.godwitwick.core.model.InstanceId
import org.godwitwick.core.model.ListedInstance
import org.godwitwick.core.model.ListedState

/** Tracks the engines that are leaving according to the instance list or their load reports. Not thread safe. */
class LeavingEngines {
    private var leavingInList = emptySet<InstanceId>()
    private val leavingIncarnations = HashMap<InstanceId, String>()

    /** Engines that must receive no new work. */
    val leaving: Set<InstanceId> get() = leavingInList + leavingIncarnations.keys

    /** Applies the [rows] of the instance list; engines that are not in it are removed. */
    fun onList(rows: List<ListedInstance>) {
        leavingInList = rows.filter { it.state == ListedState.LEAVING }.map { it.id }.toSet()
        leavingIncarnations.keys.retainAll(rows.map { it.id }.toSet())
    }

    /**
     * Applies a load report of [engine], received directly or from a peer. A leaving engine remains marked until a report of
     * another incarnation arrives, because reports of one incarnation may arrive out of order.
     */
    fun onLoad(engine: InstanceId, report: EngineLoadReport) {
        when {
            report.leaving -> leavingIncarnations[engine] = report.incarnation
            leavingIncarnations[engine] != report.incarnation -> leavingIncarnations.remove(engine)
        }
    }

    /** Returns whether [engine] is leaving and must receive no new work. */
    fun isLeaving(engine: InstanceId): Boolean = engine in leavingInList || engine in leavingIncarnations
}
