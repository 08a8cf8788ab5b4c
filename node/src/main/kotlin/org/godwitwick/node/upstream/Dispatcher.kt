package org.godwitwick.node.upstream

import okhttp3.Call
import org.godwitwick.core.error.ErrorKind
import org.godwitwick.core.error.Failure
import org.godwitwick.core.group.GroupMember
import org.godwitwick.core.group.GroupPlan
import org.godwitwick.core.group.GroupSegment
import org.godwitwick.core.group.planGroup
import org.godwitwick.core.health.Fingerprint
import org.godwitwick.core.model.GenerateRequest
import org.godwitwick.core.model.InstanceId

/** Dispatches one request to a single engine or, if the request exceeds the KV memory of the selected engine, to a group. */
internal class Dispatcher(
    private val request: GenerateRequest,
    private val fingerprint: Fingerprint,
    private val context: RunContext,
    private val onCall: (Call) -> Unit,
) {
    private val neededTokens = request.promptTokens + request.maxTokens

    /**
     * Dispatches attempt [number] to engines that are not in [excluded].
     *
     * @param sent tokens that the caller already has; the engine resumes after them.
     */
    fun open(number: Int, excluded: Set<InstanceId>, isSuspect: Boolean, sent: List<String>): DispatchResult {
        val dispatchId = "${request.id}.$number"
        val blocked = excluded + context.replicaStatus.unusable() +
            if (isSuspect) context.guard.enginesOfOtherSuspects(fingerprint) else emptySet()
        val selected = context.selector.select(request, blocked, context.nowMs())
        val replica = selected.component1() ?: return DispatchResult.NotPlaced(selected.component2()!!)
        if (neededTokens > replica.kvCapacityTokens) {
            context.selector.onEnd(replica.id, request, DispatchEnd.CANCELLED, context.nowMs())
            return openGroup(dispatchId, blocked, isSuspect, sent)
        }
        if (isSuspect && !context.guard.tryPlace(fingerprint, request.id, replica.id)) return noReplicaForSuspect(listOf(replica))
        return generate(dispatchId, listOf(replica), engineMessage(dispatchId, sent), emptyList(), emptyList())
    }

    private fun openGroup(dispatchId: String, blocked: Set<InstanceId>, isSuspect: Boolean, sent: List<String>): DispatchResult {
        val selected = context.selector.selectGroup(request, blocked, context.nowMs())
        val candidates = selected.component1() ?: return DispatchResult.NotPlaced(selected.component2()!!)
        val planned =
            planGroup(request.prompt.length, request.maxTokens, candidates.map { GroupMember(it.id, it.kvCapacityTokens) })
        val plan = planned.component1()
        if (plan == null) {
            report(candidates, DispatchEnd.CANCELLED)
            return DispatchResult.NotPlaced(planned.component2()!!)
        }
        val members = plan.segments.map { segment -> candidates.first { it.id == segment.member } }
        report(candidates - members.toSet(), DispatchEnd.CANCELLED)
        if (isSuspect && !context.guard.tryPlace(fingerprint, request.id, members.last().id)) return noReplicaForSuspect(members)
        return GroupDispatch(dispatchId, plan, members, sent).run()
    }

    private fun noReplicaForSuspect(replicas: List<SelectedReplica>): DispatchResult {
        report(replicas, DispatchEnd.CANCELLED)
        return DispatchResult.NotPlaced(Failure(ErrorKind.NO_UPSTREAM, "no replica is free of other suspected requests"))
    }

    private fun report(replicas: List<SelectedReplica>, end: DispatchEnd) =
        replicas.forEach { context.selector.onEnd(it.id, request, end, context.nowMs()) }

    private fun remainingMs(): Long = request.deadline.remainingMs(context.nowMs())

    private fun generate(
        dispatchId: String,
        replicas: List<SelectedReplica>,
        message: EngineGenerate,
        holds: List<HoldRef>,
        others: List<InFlightTable.Entry>,
    ): DispatchResult {
        val engine = replicas.last()
        val entries = others + addEntry(engine, dispatchId)
        val result = context.engines.generate(engine.address, message, remainingMs(), onCall)
        val stream = result.component1()
            ?: return failed(engine, replicas, dispatchId, result.component2()!!, holds, entries)
        return DispatchResult.Accepted(Attempt(replicas, engine, dispatchId, stream, holds, entries))
    }

    private fun addEntry(engine: SelectedReplica, dispatchId: String): InFlightTable.Entry {
        val incarnation = context.replicaStatus.lastReport(engine.id)?.incarnation ?: UNKNOWN_INCARNATION
        return InFlightTable.Entry(engine.id, incarnation, dispatchId, fingerprint).also(context.inFlight::add)
    }

    private fun failed(
        engine: SelectedReplica,
        replicas: List<SelectedReplica>,
        dispatchId: String,
        failure: EngineFailure,
        holds: List<HoldRef>,
        entries: List<InFlightTable.Entry>,
    ): DispatchResult {
        val mayBeRunning = failure is EngineFailure.ConnectionLost || failure is EngineFailure.Stalled
        if (mayBeRunning) context.cleanup.cancel(engine.address, dispatchId)
        holds.forEach { context.cleanup.release(it.address, it.holdId) }
        val end = if (failure is EngineFailure.Refused) DispatchEnd.REFUSED else DispatchEnd.BROKEN
        replicas.forEach {
            context.selector.onEnd(it.id, request, if (it == engine) end else DispatchEnd.CANCELLED, context.nowMs())
        }
        return DispatchResult.Failed(engine, failure, entries, replicas.size > 1)
    }

    private fun engineMessage(dispatchId: String, sent: List<String>) = EngineGenerate(
        requestId = dispatchId,
        model = request.model,
        prompt = request.prompt,
        maxTokens = request.maxTokens,
        priority = request.priority,
        resumeTokens = sent.toList(),
        deadlineAtMs = request.deadline.atMs,
    )

    /**
     * A dispatch to a group: reserves KV memory on all members, prefills the prompt segment by segment, and generates on the last
     * member. If any step fails, all reservations are released.
     */
    private inner class GroupDispatch(
        private val dispatchId: String,
        private val plan: GroupPlan,
        private val members: List<SelectedReplica>,
        private val sent: List<String>,
    ) {
        private val holds = ArrayList<HoldRef>()
        private val entries = ArrayList<InFlightTable.Entry>()
        private val handles = ArrayList<String>()

        fun run(): DispatchResult {
            plan.reservationOrder.forEach { segment -> reserve(segment)?.let { return it } }
            plan.segments.dropLast(1).forEach { segment -> prefill(segment)?.let { return it } }
            val last = plan.segments.last()
            val message = engineMessage(dispatchId, sent).copy(
                prompt = request.prompt.substring(last.startChar, last.endChar),
                contextHolds = handles,
                holdId = holdIdOf(last),
            )
            return generate(dispatchId, members, message, holds, entries)
        }

        private fun reserve(segment: GroupSegment): DispatchResult? {
            val member = members.first { it.id == segment.member }
            val hold = EngineHold(
                holdId = holdIdOf(segment),
                requestId = dispatchId,
                owner = context.owner.id.value,
                ownerIncarnation = context.owner.incarnation,
                expiresAtMs = request.deadline.atMs + HOLD_GRACE_MS,
                tokens = segment.holdTokens,
            )
            // Recorded before the call, so that the hold is released even if the reply is lost.
            holds += HoldRef(member.address, hold.holdId)
            val result = context.engines.reserve(member.address, hold, remainingMs(), onCall)
            return result.component2()?.let { failed(member, members, dispatchId, it, holds, entries) }
        }

        private fun prefill(segment: GroupSegment): DispatchResult? {
            val member = members.first { it.id == segment.member }
            val text = request.prompt.substring(segment.startChar, segment.endChar)
            val id = "$dispatchId.${members.indexOf(member)}"
            val message = EnginePrefill(id, holdIdOf(segment), text, request.priority, handles.toList())
            entries += addEntry(member, dispatchId)
            val result = context.engines.prefill(member.address, message, remainingMs(), onCall)
            val event = result.component1()?.use { it.next() }
                ?: return failed(member, members, id, result.component2()!!, holds, entries)
            return when (event) {
                is EngineStreamEvent.Prefilled -> null.also { handles += event.handle }
                is EngineStreamEvent.Failed -> failed(member, members, id, event.failure, holds, entries)
                else -> failed(member, members, id, EngineFailure.ProtocolViolation("prefill returned no handle"), holds, entries)
            }
        }

        private fun holdIdOf(segment: GroupSegment): String = "$dispatchId.h${plan.segments.indexOf(segment)}"
    }

    private companion object {
        const val UNKNOWN_INCARNATION = "unknown"

        // Holds expire after the deadline, so that the owner releases them before the watcher does.
        const val HOLD_GRACE_MS = 5_000L
    }
}
