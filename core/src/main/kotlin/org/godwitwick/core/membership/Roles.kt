package org.godwitwick.core.membership

import org.godwitwick.core.model.InstanceId

private const val TAILERS = 2
private const val DELEGATES = 2

/** The instances of [dataCentre] that read the log for the others. */
fun tailersOf(dataCentre: String, members: List<Member>): List<InstanceId> =
    rendezvousLowest("tailer/$dataCentre", liveIds(dataCentre, members), TAILERS)

/** The instances of [dataCentre] that exchange summaries with other data centres. */
fun delegatesOf(dataCentre: String, members: List<Member>): List<InstanceId> =
    rendezvousLowest("delegate/$dataCentre", liveIds(dataCentre, members), DELEGATES)

/** The instance of [dataCentre] that polls the load of [replica] and releases its holds. */
fun watcherOf(replica: InstanceId, dataCentre: String, members: List<Member>): InstanceId? =
    rendezvousHighest("watcher/${replica.value}", liveIds(dataCentre, members))

private fun liveIds(dataCentre: String, members: List<Member>) =
    members.filter { it.dataCentre == dataCentre && it.isLive }.map { it.id }
