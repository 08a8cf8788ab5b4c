package org.godwitwick.node.forward

import org.godwitwick.core.forward.LoadExchangePlan
import org.godwitwick.core.forward.UpstreamWork
import org.godwitwick.core.model.InstanceId
import org.godwitwick.node.peer.ForwardLoad

/**
 * Tells other instances what this one has sent to each upstream, or, as a collector, what all have sent. Nothing depends on a single
 * message: without any, an instance places by its own work. Used by one thread.
 */
class LoadExchange(
    private val self: InstanceId,
    private val loads: UpstreamLoads,
    private val peerLoads: PeerLoads,
    private val send: (to: InstanceId, message: ForwardLoad) -> Unit,
) {
    private var others: Set<InstanceId> = emptySet()
    private var plan = LoadExchangePlan.of(setOf(self))
    private var hadWork = false
    private var idleRounds = 0

    /** One round of the exchange with [present], the other instances, at [nowMs] of the steady clock and [wallMs] of the time of day. */
    fun round(present: Set<InstanceId>, nowMs: Long, wallMs: Long) {
        if (present != others) {
            others = present
            plan = LoadExchangePlan.of(present + self)
        }
        val work = loads.all(nowMs)
        tellOwn(work, wallMs)
        val firstSilentMs = peerLoads.silentMs(plan.collectors.first(), nowMs)
        if (plan.tellsSums(self, firstSilentMs)) tellSums(work, nowMs, wallMs)
    }

    /** Tells the collectors at once what has changed at [nowMs] and [wallMs]; for work that other instances should avoid. */
    fun tellNow(nowMs: Long, wallMs: Long) = tellOwn(loads.all(nowMs), wallMs)

    private fun tellOwn(work: Map<InstanceId, UpstreamWork>, wallMs: Long) {
        // An instance without work says so once and then only often enough not to count as silent.
        val isNews = work.isNotEmpty() || hadWork || ++idleRounds >= IDLE_ROUNDS
        hadWork = work.isNotEmpty()
        if (!isNews) return
        idleRounds = 0
        val message = ForwardLoad.of(work.mapKeys { ForwardLoad.keyOf(it.key) }, wallMs)
        plan.collectors.forEach { if (it != self) send(it, message) }
    }

    private fun tellSums(work: Map<InstanceId, UpstreamWork>, nowMs: Long, wallMs: Long) {
        val sums = peerLoads.sums(nowMs)
        val own = work.mapKeys { ForwardLoad.keyOf(it.key) }
        others.forEach { if (it !in plan.collectors) send(it, sums.without(it, own, wallMs)) }
    }

    private companion object {
        /** Rounds without work after which an instance tells so again, half of the time after which it counts as silent. */
        const val IDLE_ROUNDS = 3
    }
}
