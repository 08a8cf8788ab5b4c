package org.godwitwick.node.forward

import org.godwitwick.core.forward.LoadExchangePlan
import org.godwitwick.core.forward.UpstreamWork
import org.godwitwick.core.model.InstanceId
import org.godwitwick.node.peer.ForwardLoad

/**
 * Tells other instances what this one has sent to each upstream, or, as a collector, what its data centre and all others have sent.
 * Nothing depends on a single message: without any, an instance places by its own work. Used by one thread.
 */
class LoadExchange(
    private val self: RegisteredInstance,
    private val loads: UpstreamLoads,
    private val peerLoads: PeerLoads,
    private val send: (to: InstanceId, message: ForwardLoad) -> Unit,
) {
    private var others: Collection<RegisteredInstance> = emptySet()
    private var plan = LoadExchangePlan.of(mapOf(self.id to self.dataCentre))
    private var hadWork = false
    private var idleRounds = 0

    /** One round of the exchange with [present], the other instances, at [nowMs] of the steady clock and [wallMs] of the time of day. */
    fun round(present: Collection<RegisteredInstance>, nowMs: Long, wallMs: Long) {
        if (present !== others) {
            others = present
            plan = LoadExchangePlan.of((present + self).associate { it.id to it.dataCentre })
        }
        val work = workByKey(nowMs)
        tellOwn(work, wallMs)
        val firstSilentMs = peerLoads.silentMs(plan.collectorsOf(self.dataCentre).first(), nowMs)
        if (plan.sendsTotals(self.id, self.dataCentre, firstSilentMs)) tellSums(work, nowMs, wallMs)
    }

    /** Tells the collectors at once what has changed at [nowMs] and [wallMs]; for work that other instances should avoid. */
    fun tellNow(nowMs: Long, wallMs: Long) = tellOwn(workByKey(nowMs), wallMs)

    private fun workByKey(nowMs: Long): Map<Int, UpstreamWork> = loads.all(nowMs).mapKeys { ForwardLoad.keyOf(it.key) }

    private fun tellOwn(work: Map<Int, UpstreamWork>, wallMs: Long) {
        // An instance without work says so once and then only often enough not to count as silent.
        val isNews = work.isNotEmpty() || hadWork || ++idleRounds >= IDLE_ROUNDS
        hadWork = work.isNotEmpty()
        if (!isNews) return
        idleRounds = 0
        val message = ForwardLoad.of(work, wallMs)
        plan.collectorsOf(self.dataCentre).forEach { if (it != self.id) send(it, message) }
    }

    private fun tellSums(own: Map<Int, UpstreamWork>, nowMs: Long, wallMs: Long) {
        val sums = peerLoads.sums(own, nowMs)
        val message = sums.ofDataCentre(self.dataCentre, wallMs)
        plan.collectorsOfOtherDataCentres(self.dataCentre).forEach { send(it, message) }
        val near = plan.collectorsOf(self.dataCentre)
        others.forEach { if (it.dataCentre == self.dataCentre && it.id !in near) send(it.id, sums.without(it.id, wallMs)) }
    }

    private companion object {
        /** Rounds without work after which an instance tells so again, half of the time after which it counts as silent. */
        const val IDLE_ROUNDS = 3
    }
}
