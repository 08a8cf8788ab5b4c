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

/** Opens dispatches of one request, on one engine or on a group. */
internal class Dispatcher(
    private val request: GenerateRequest,
    private val fingerprint: Fingerprint,
    private val parts: RunParts,
    private val onCall: (Call) -> Unit,
) {
    private val needed = request.promptTokens + request.maxTokens

    /** Dispatches attempt [number], none of [excluded], with [sent] tokens already delivered. */
    fun open(number: Int, excluded: Set<InstanceId>, isSuspect: Boolean, sent: List<String>): Opening {
        val dispatchId = "${request.id}.$number"
        val blocked = excluded + parts.knowledge.unusable() +
            if (isSuspect) parts.guard.enginesOfOtherSuspects(fingerprint) else emptySet()
        val selected = parts.selector.select(request, blocked, parts.nowMs())
        val replica = selected.component1() ?: return Opening.NotPlaced(selected.component2()!!)
        if (needed > replica.kvCapacityTokens) {
            parts.selector.onEnd(replica.id, request, DispatchEnd.CANCELLED, parts.nowMs())
            return openGroup(dispatchId, blocked, isSuspect, sent)
        }
        if (isSuspect && !parts.guard.tryPlace(fingerprint, request.id, replica.id)) return placeTaken(listOf(replica))
        return generate(dispatchId, listOf(replica), engineMessage(dispatchId, sent), emptyList(), emptyList())
    }

    private fun openGroup(dispatchId: String, blocked: Set<InstanceId>, isSuspect: Boolean, sent: List<String>): Opening {
        val selected = parts.selector.selectGroup(request, blocked, parts.nowMs())
        val candidates = selected.component1() ?: return Opening.NotPlaced(selected.component2()!!)
        val planned =
            planGroup(request.prompt.length, request.maxTokens, candidates.map { GroupMember(it.id, it.kvCapacityTokens) })
        val plan = planned.component1()
        if (plan == null) {
            report(candidates, DispatchEnd.CANCELLED)
            return Opening.NotPlaced(planned.component2()!!)
        }
        val members = plan.segments.map { segment -> candidates.first { it.id == segment.member } }
        report(candidates - members.toSet(), DispatchEnd.CANCELLED)
        if (isSuspect && !parts.guard.tryPlace(fingerprint, request.id, members.last().id)) return placeTaken(members)
        return GroupOpening(dispatchId, plan, members, sent).run()
    }

    private fun placeTaken(replicas: List<SelectedReplica>): Opening {
        report(replicas, DispatchEnd.CANCELLED)
        return Opening.NotPlaced(Failure(ErrorKind.NO_UPSTREAM, "no replica free of other suspected requests"))
    }

    private fun report(replicas: List<SelectedReplica>, end: DispatchEnd) =
        replicas.forEach { parts.selector.onEnd(it.id, request, end, parts.nowMs()) }

    private fun remainingMs(): Long = request.deadline.remainingMs(parts.nowMs())

    private fun generate(
        dispatchId: String,
        replicas: List<SelectedReplica>,
        message: EngineGenerate,
        holds: List<HeldMemory>,
        others: List<InFlightTable.Entry>,
    ): Opening {
        val engine = replicas.last()
        val entries = others + enter(engine, dispatchId)
        val result = parts.engines.generate(engine.address, message, remainingMs(), onCall)
        val stream = result.component1()
            ?: return failed(engine, replicas, dispatchId, result.component2()!!, holds, entries)
        return Opening.Opened(Attempt(replicas, engine, dispatchId, stream, holds, entries))
    }

    private fun enter(engine: SelectedReplica, dispatchId: String): InFlightTable.Entry {
        val incarnation = parts.knowledge.lastReport(engine.id)?.incarnation ?: UNKNOWN_INCARNATION
        return InFlightTable.Entry(engine.id, incarnation, dispatchId, fingerprint).also(parts.inFlight::enter)
    }

    private fun failed(
        engine: SelectedReplica,
        replicas: List<SelectedReplica>,
        dispatchId: String,
        failure: EngineFailure,
        holds: List<HeldMemory>,
        entries: List<InFlightTable.Entry>,
    ): Opening {
        val isRun = failure is EngineFailure.ConnectionLost || failure is EngineFailure.Stalled
        if (isRun) parts.cleanup.cancel(engine.address, dispatchId)
        holds.forEach { parts.cleanup.release(it.address, it.holdId) }
        val end = if (failure is EngineFailure.Refused) DispatchEnd.REFUSED else DispatchEnd.BROKEN
        replicas.forEach {
            parts.selector.onEnd(it.id, request, if (it == engine) end else DispatchEnd.CANCELLED, parts.nowMs())
        }
        return Opening.Failed(engine, failure, entries, replicas.size > 1)
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

    /** Reserves all members or none, prefills segment by segment, and generates on the last member. */
    private inner class GroupOpening(
        private val dispatchId: String,
        private val plan: GroupPlan,
        private val members: List<SelectedReplica>,
        private val sent: List<String>,
    ) {
        private val holds = ArrayList<HeldMemory>()
        private val entries = ArrayList<InFlightTable.Entry>()
        private val handles = ArrayList<String>()

        fun run(): Opening {
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

        private fun reserve(segment: GroupSegment): Opening? {
            val member = members.first { it.id == segment.member }
            val hold = EngineHold(
                holdId = holdIdOf(segment),
                requestId = dispatchId,
                owner = parts.owner.id.value,
                ownerIncarnation = parts.owner.incarnation,
                expiresAtMs = request.deadline.atMs + HOLD_GRACE_MS,
                tokens = segment.holdTokens,
            )
            // Noted before the call, so that a hold whose reply is lost is released too.
            holds += HeldMemory(member.address, hold.holdId)
            val result = parts.engines.reserve(member.address, hold, remainingMs(), onCall)
            return result.component2()?.let { failed(member, members, dispatchId, it, holds, entries) }
        }

        private fun prefill(segment: GroupSegment): Opening? {
            val member = members.first { it.id == segment.member }
            val text = request.prompt.substring(segment.startChar, segment.endChar)
            val id = "$dispatchId.${members.indexOf(member)}"
            val message = EnginePrefill(id, holdIdOf(segment), text, request.priority, handles.toList())
            entries += enter(member, dispatchId)
            val result = parts.engines.prefill(member.address, message, remainingMs(), onCall)
            val event = result.component1()?.use { it.next() }
                ?: return failed(member, members, id, result.component2()!!, holds, entries)
            return when (event) {
                is EngineStreamEvent.Prefilled -> null.also { handles += event.handle }
                is EngineStreamEvent.Failed -> failed(member, members, id, event.failure, holds, entries)
                else -> failed(member, members, id, EngineFailure.Misbehaved("prefill answered tokens"), holds, entries)
            }
        }

        private fun holdIdOf(segment: GroupSegment): String = "$dispatchId.h${plan.segments.indexOf(segment)}"
    }

    private companion object {
        const val UNKNOWN_INCARNATION = "unknown"

        // Holds outlive the deadline a little, so that the owner's own release comes before the watcher's.
        const val HOLD_GRACE_MS = 5_000L
    }
}
