package org.godwitwick.core.claim

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan

/**
 * Explores all interleavings of two claimants of one key, with the production [ClaimIndex] and [DispatchGuard].
 *
 * Any append may be refused, fail, lose its response, or take effect later or never, with up to two delayed appends at a time. A
 * claimant may pause until its grant is too old. The caller of the first claimant retries its call once. A crash needs no step of
 * its own: a crashed claimant takes no further step, and the checks apply to every state that is reached.
 */
class ClaimProtocolModelTest {
    private enum class Step { START, UNANSWERED, READ, GRANTED, DISPATCHED, ENDED }

    private data class Caller(
        val name: Char,
        val attempt: Int = 1,
        val step: Step = Step.START,
        val unsentEntries: List<ClaimEntry> = emptyList(),
    ) {
        val claim: Claim get() = claims.getValue("$name$attempt")
    }

    private data class ModelState(
        val callers: List<Caller>,
        val log: List<ClaimEntry> = emptyList(),
        val delayed: List<ClaimEntry> = emptyList(),
        val dispatched: List<ClaimId> = emptyList(),
        val reportedNotRun: Set<ClaimId> = emptySet(),
    )

    /** Guards against orders of events in which a call is dispatched twice, or reported as not run although it was dispatched. */
    @Test
    fun `no interleaving of two claimants dispatches twice or denies a dispatched call`() {
        val start = ModelState(listOf(Caller('a'), Caller('b')))
        val seen = hashSetOf(start)
        val open = ArrayDeque(listOf(start))
        var dispatches = 0
        var notRunReports = 0
        while (open.isNotEmpty()) {
            val state = open.removeLast()
            check(state.dispatched.size <= 1) { "dispatched twice: $state" }
            check(state.dispatched.none { it in state.reportedNotRun }) { "reported a dispatched call as not run: $state" }
            if (state.dispatched.isNotEmpty()) dispatches++
            if (state.reportedNotRun.isNotEmpty()) notRunReports++
            next(state).forEach { if (seen.add(it)) open.addLast(it) }
        }
        println("claim model: ${seen.size} states, $dispatches with a dispatch, $notRunReports with a call reported as not run")
        expectThat(dispatches).isGreaterThan(0)
        expectThat(notRunReports).isGreaterThan(0)
    }

    /** Guards against decisions that differ between log offsets: a key must have at most one grant at any offset. */
    @Test
    fun `a grant is the only one at every later log offset until it is voided`() {
        val entries = listOf(claims.getValue("a1"), claims.getValue("b1"), claims.getValue("a2"), notRun(claims.getValue("a1")))
        for (order in permutations(entries)) {
            for (length in 1..order.size) {
                val index = indexOf(*order.take(length).toTypedArray())
                val granted = order.take(length).filterIsInstance<Claim>().filter { index.decide(it) is ClaimDecision.Granted }
                expectThat(granted.size).isEqualTo(if (index.decideWithoutAppend(claim("c")) == null) 0 else 1)
            }
        }
    }

    private fun next(state: ModelState): List<ModelState> =
        state.callers.indices.flatMap { next(state, it) } + state.delayed.map { late ->
            state.copy(log = state.log + late, delayed = state.delayed - late)
        }

    private fun next(state: ModelState, at: Int): List<ModelState> {
        val caller = state.callers[at]
        val claim = caller.claim
        fun ModelState.to(step: Step, unsentEntries: List<ClaimEntry> = caller.unsentEntries) =
            copy(callers = callers.toMutableList().also { it[at] = caller.copy(step = step, unsentEntries = unsentEntries) })
        fun ModelState.appended(entry: ClaimEntry) = copy(log = log + entry)
        fun ModelState.delaying(entry: ClaimEntry) = if (delayed.size < 2) copy(delayed = delayed + entry) else this
        fun reportNotRun(isInLog: Boolean) = state.copy(reportedNotRun = state.reportedNotRun + claim.claimId)
            .to(Step.ENDED, if (isInLog) caller.unsentEntries + notRun(claim) else caller.unsentEntries)
        fun end(claimant: DispatchGuard) = when (claimant.fail()) {
            DispatchState.NotRun -> reportNotRun(isInLog = true)
            else -> state.to(Step.ENDED, caller.unsentEntries + UnknownEntry(claim.claimId, claim.key))
        }
        val reports = caller.unsentEntries.flatMap { entry ->
            val sent = state.to(caller.step, caller.unsentEntries - entry)
            listOf(sent.appended(entry), sent.delaying(entry))
        }
        return reports + when (caller.step) {
            Step.START -> listOf(
                state.appended(claim).to(Step.READ),
                state.appended(claim).to(Step.UNANSWERED),
                state.delaying(claim).to(Step.UNANSWERED),
                state.to(Step.UNANSWERED),
                reportNotRun(isInLog = false),
            )

            Step.UNANSWERED -> listOf(state.appended(claim).to(Step.READ), reportNotRun(isInLog = true))

            Step.READ -> {
                val decided = when (indexOf(*state.log.toTypedArray()).decide(claim)) {
                    is ClaimDecision.Granted -> state.to(Step.GRANTED)
                    is ClaimDecision.LogUnavailable -> reportNotRun(isInLog = true)
                    else -> state.to(Step.ENDED)
                }
                listOf(decided, reportNotRun(isInLog = true))
            }

            // A dispatch in time, a dispatch attempted after a pause when the grant is too old, and a failure to connect.
            Step.GRANTED -> listOf(START_MS, START_MS + 1).map { nowMs ->
                val claimant = DispatchGuard(dispatchByMs = START_MS)
                val isWritten = claimant.startDispatch(nowMs)
                if (isWritten) state.copy(dispatched = state.dispatched + claim.claimId).to(Step.DISPATCHED) else end(claimant)
            } + end(DispatchGuard(START_MS))

            Step.DISPATCHED -> {
                val claimant = DispatchGuard(dispatchByMs = START_MS).apply { startDispatch(START_MS) }
                val answered = state.to(Step.ENDED, caller.unsentEntries + outcomes.getValue(claim.claimId))
                listOf(answered, end(claimant))
            }

            Step.ENDED -> listOfNotNull(
                state.copy(callers = state.callers.toMutableList().also { it[at] = caller.copy(attempt = 2, step = Step.START) })
                    .takeIf { claim.claimId.value == "a1" },
            )
        }
    }

    private fun <T> permutations(items: List<T>): List<List<T>> = if (items.isEmpty()) {
        listOf(emptyList())
    } else {
        items.flatMap { head ->
            permutations(items - head).map { listOf(head) + it }
        }
    }

    private companion object {
        val claims = listOf("a1", "a2", "b1").associateWith { claim(it) }
        val outcomes = claims.values.associate { it.claimId to outcome(it) }
    }
}
