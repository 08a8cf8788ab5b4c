package org.godwitwick.core.membership

import org.godwitwick.core.model.InstanceId

private const val TAILERS_PER_DATA_CENTRE = 2
private const val DELEGATES_PER_DATA_CENTRE = 2

/** Returns the instances of [dataCentre] that read the log on behalf of the others. */
fun tailersOf(dataCentre: String, members: List<Member>): List<InstanceId> =
    rendezvousLowest("tailer/$dataCentre", liveIds(dataCentre, members), TAILERS_PER_DATA_CENTRE)

/** Returns the instances of [dataCentre] that exchange summaries with other data centres. */
fun delegatesOf(dataCentre: String, members: List<Member>): List<InstanceId> =
    rendezvousLowest("delegate/$dataCentre", liveIds(dataCentre, members), DELEGATES_PER_DATA_CENTRE)

/** Returns the instance of [dataCentre] that polls the load of [replica] and releases its holds, or null if none is live. */
fun watcherOf(replica: InstanceId, dataCentre: String, members: List<Member>): InstanceId? =
    rendezvousHighest("watcher/${replica.value}", liveIds(dataCentre, members))

private fun liveIds(dataCentre: String, members: List<Member>) =
    members.filter { it.dataCentre == dataCentre && it.isLive }.map { it.id }
