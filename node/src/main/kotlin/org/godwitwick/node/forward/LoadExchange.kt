package org.godwitwick.node.forward

import org.godwitwick.core.forward.LoadExchangePlan
import org.godwitwick.core.forward.UpstreamWork
import org.godwitwick.core.model.InstanceId
import org.godwitwick.node.peer.ForwardLoad

/**
 * Sends other instances the work that this one has at each upstream. A collector also sends the totals of its data centre and of
 * the fleet. A lost message does no harm: an instance that receives none places by its own work. Used by one thread.
 *
 * @param recentWork returns the recent work of this instance by organisation, in milliseconds, at a monotonic time.
 */
class LoadExchange(
    private val self: RegisteredInstance,
    private val loads: UpstreamLoads,
    private val peerLoads: PeerLoads,
    private val recentWork: (nowMs: Long) -> Map<Int, Double> = { emptyMap() },
    private val send: (to: InstanceId, message: ForwardLoad) -> Unit,
) {
    private var others: Collection<RegisteredInstance> = emptySet()
    private var plan = LoadExchangePlan.of(mapOf(self.id to self.dataCentre))
    private var hadWork = false
    private var idleRounds = 0

    /** Runs a round of the exchange with the other instances, [registered]; [nowMs] is monotonic time and [wallMs] wall time. */
    fun round(registered: Collection<RegisteredInstance>, nowMs: Long, wallMs: Long) {
        if (registered !== others) {
            others = registered
            plan = LoadExchangePlan.of((registered + self).associate { it.id to it.dataCentre })
        }
        val work = workByKey(nowMs)
        sendOwn(work, nowMs, wallMs)
        val firstCollectorSilentMs = peerLoads.silentMs(plan.collectorsOf(self.dataCentre).first(), nowMs)
        if (plan.sendsTotals(self.id, self.dataCentre, firstCollectorSilentMs)) sendTotals(work, nowMs, wallMs)
    }

    /**
     * Sends this instance's work to the collectors without waiting for the next round. Called after a long prompt was placed, so
     * that other instances avoid its engines.
     */
    fun sendNow(nowMs: Long, wallMs: Long) = sendOwn(workByKey(nowMs), nowMs, wallMs)

    private fun workByKey(nowMs: Long): Map<Int, UpstreamWork> = loads.all(nowMs).mapKeys { ForwardLoad.keyOf(it.key) }

    private fun sendOwn(work: Map<Int, UpstreamWork>, nowMs: Long, wallMs: Long) {
        // An instance without work sends one message, and then only as many as it needs not to count as silent.
        val mustSend = work.isNotEmpty() || hadWork || ++idleRounds >= IDLE_ROUNDS
        hadWork = work.isNotEmpty()
        if (!mustSend) return
        idleRounds = 0
        val message = ForwardLoad.of(work, wallMs, recentWork = recentWork(nowMs))
        plan.collectorsOf(self.dataCentre).forEach { if (it != self.id) send(it, message) }
    }

    private fun sendTotals(own: Map<Int, UpstreamWork>, nowMs: Long, wallMs: Long) {
        val totals = peerLoads.totals(own, nowMs, recentWork(nowMs))
        val message = totals.ofDataCentre(self.dataCentre, wallMs)
        plan.collectorsOfOtherDataCentres(self.dataCentre).forEach { send(it, message) }
        val collectors = plan.collectorsOf(self.dataCentre)
        others.forEach { if (it.dataCentre == self.dataCentre && it.id !in collectors) send(it.id, totals.except(it.id, wallMs)) }
    }

    private companion object {
        /** Rounds without work after which an instance sends again: half of the time after which it counts as silent. */
        const val IDLE_ROUNDS = 3
    }
}
