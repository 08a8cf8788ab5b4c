package org.godwitwick.node.forward

import org.godwitwick.core.error.Failure
import org.godwitwick.core.forward.AdmittedTarget
import org.godwitwick.core.forward.CallerWait
import org.godwitwick.core.forward.PrefillForecast
import org.godwitwick.core.forward.RankedDemand
import org.godwitwick.core.forward.RecentWork
import org.godwitwick.core.forward.StatedRank
import org.godwitwick.core.forward.WaitingPrompt
import org.godwitwick.core.model.InstanceId
import org.slf4j.LoggerFactory

/**
 * Place of one request in the order of the prompts that wait at this instance, where its service is contended by rank; without effect
 * elsewhere. Used by one thread.
 */
internal class RankedTurn(private val context: ForwardContext, private val request: CallerRequest, private val guard: RunGuard) {
    private val shares = context.shares
    private var service = ""
    private var organisation = 0
    private var workMs: Double? = null
    private var prompt: WaitingPrompt? = null
    private var ticket: RankedPrefillQueue.Ticket? = null
    private var startedAtMs = 0L
    private var turns = 0
    private var outcome = "unplaced"

    /** Whether the request waits in the order of ranks and shares if it has to wait. */
    val isNeeded: Boolean get() = prompt != null

    /**
     * Called before each placement; returns the engines that are kept for prompts ahead of this one, or null if it must [await] its
     * turn before it is placed.
     */
    fun prepare(admitted: AdmittedTarget, serviceName: String, wait: CallerWait): Set<InstanceId>? {
        val table = context.fleetView.routing.table
        val rank = table?.ranksOf(serviceName)?.let { StatedRank(it.levelOf(admitted.rank), it) }
        val engine = table?.serviceOf(serviceName)?.engine
        val size = request.size
        workMs = if (rank == null || size == null) null else engine?.prefillMs(size.promptTokens)
        service = serviceName
        organisation = RecentWork.keyOf(admitted.organisation)
        val work = workMs
        // Only prompts that are placed by rank and are long may wait, see WorkPlacer.
        val mayWait =
            rank != null && size != null && engine != null && !size.isShort && !RankedDemand(size, wait, rank).isShort(engine)
        if (!mayWait || work == null) {
            // The configuration may have changed while the request waited.
            end()
            prompt = null
            return emptySet()
        }
        val current = WaitingPrompt(rank.level, organisation, work, wait.sinceMs + wait.targetMs)
        prompt = current
        return ticket?.keptAhead() ?: emptySet<InstanceId>().takeIf { shares.queue.isFirst(current) }
    }

    /** Waits for the next turn after [decision], or for the first one if null. */
    fun await(decision: PlacementDecision.Wait?): RankedTurnEnd {
        val waiting = checkNotNull(prompt) { "the service is not contended by rank" }
        val ranked = decision?.let { RankedForecast(it.engines, isOnTime(it.forecast, waiting)) }
        val present = ticket
        if (present == null) {
            startedAtMs = Clocks.steadyMs()
            ticket = shares.queue.enter(waiting, ranked)?.also { guard.onCancelled(it::wake) }
            logEntry(waiting, decision?.forecast)
        } else if (ranked != null) {
            turns++
            present.stay(ranked)
        }
        return awaitTurn()
    }

    private fun isOnTime(forecast: PrefillForecast, waiting: WaitingPrompt): Boolean =
        Clocks.steadyMs() + forecast.backlogMs + forecast.partMs <= waiting.targetAtMs

    private fun awaitTurn(): RankedTurnEnd {
        val current = ticket ?: return RankedTurnEnd.REFUSED.also { shares.recordWaitEnd(service, "refused") }
        val end = current.await { guard.mayGoOn }
        val mayGoOn = end != RankedTurnEnd.TURN || current.takeDelayMs().let { it == 0L || guard.pause(it) }
        return (if (mayGoOn) end else RankedTurnEnd.CANCELLED).also {
            if (it == RankedTurnEnd.REFUSED) outcome = "refused"
            if (it == RankedTurnEnd.CANCELLED) outcome = "cancelled"
        }
    }

    /** The failure of a request that was refused because the queue is full. */
    fun refusal(forecast: PrefillForecast?): Failure =
        RunFailures.queueFull(shares.queue.longestWaitMs(), forecast?.backlogMs?.toLong() ?: 0, context.random.nextDouble())

    /** Ends the wait, if there is one, after the request was placed as [work]; returns [progress] with its ends observed. */
    fun onPlaced(work: PlacedWork, progress: UpstreamLoads.WorkInProgress): UpstreamLoads.WorkInProgress {
        if (workMs == null) return progress
        if (ticket != null) outcome = "placed on ${work.placement.helpers.size + 1} engines"
        end()
        return shares.observed(progress)
    }

    /** Charges the organisation with the prefill of a request that is about to be sent; called once the KV cache is reserved. */
    fun onSend() {
        workMs?.let { shares.work.add(organisation, it, Clocks.steadyMs()) }
    }

    /** Ends the wait, if there is one. */
    fun end() {
        val current = ticket ?: return
        ticket = null
        guard.onCancelled {}
        current.leave()
        val waitedMs = Clocks.steadyMs() - startedAtMs
        log.info("forward: {} waited {} ms in order of rank, {} turns in vain; {}", request.id, waitedMs, turns, outcome)
        context.metrics.recordWait(service, waitedMs)
        shares.recordWaitEnd(service, outcome.substringBefore(' '))
        outcome = "unplaced"
        turns = 0
    }

    private fun logEntry(waiting: WaitingPrompt, forecast: PrefillForecast?) {
        if (!log.isInfoEnabled) return
        val order = shares.queue.inOrder()
        val position = order.indexOfFirst { it.item === ticket }
        val place = order.getOrNull(position)
        log.info(
            "forward: {} {} for the engines of {}: level {}, whole prefill {} ms, organisation charged {} ms, share {} ms, " +
                "step {}, position {} of {}, part of each engine {} ms, pending prefill {} ms",
            request.id,
            if (ticket == null) "may not wait" else "waits",
            service,
            waiting.level,
            waiting.workMs.toLong(),
            place?.chargedMs?.toLong(),
            place?.shareMs?.toLong(),
            place?.step,
            position + 1,
            order.size,
            forecast?.partMs?.toLong(),
            forecast?.backlogMs?.toLong(),
        )
    }

    private companion object {
        val log = LoggerFactory.getLogger(RankedTurn::class.java)
    }
}
