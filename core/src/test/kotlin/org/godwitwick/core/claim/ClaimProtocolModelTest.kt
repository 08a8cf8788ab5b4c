package org.godwitwick.core.claim

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan

/**
 * Explores every interleaving of two claimants of one key, over the real index and the real state machine of a claimant. Any append may
 * be refused, lose its answer, fail or take effect later or never (up to two at a time are late); a claimant may pause past its grant's age. The
 * first claimant's caller repeats its call once. A crash is a claimant that takes no further step, which every explored path includes as
 * its beginning, since the checks hold in each state.
 */
class ClaimProtocolModelTest {
    private enum class Step { START, UNANSWERED, READ, GRANTED, DISPATCHED, ENDED }

    private data class Caller(
        val name: Char,
        val attempt: Int = 1,
        val step: Step = Step.START,
        val unsent: List<ClaimEntry> = emptyList(),
    ) {
        val claim: Claim get() = claims.getValue("$name$attempt")
    }

    private data class World(
        val callers: List<Caller>,
        val log: List<ClaimEntry> = emptyList(),
        val delayed: List<ClaimEntry> = emptyList(),
        val dispatched: List<ClaimId> = emptyList(),
        val saidNotRun: Set<ClaimId> = emptySet(),
    )

    /** Guards against any order of events in which a call is dispatched twice or "not run" is said of a call that was dispatched. */
    @Test
    fun `no interleaving of two claimants dispatches twice or denies a dispatched call`() {
        val start = World(listOf(Caller('a'), Caller('b')))
        val seen = hashSetOf(start)
        val open = ArrayDeque(listOf(start))
        var dispatches = 0
        var denials = 0
        while (open.isNotEmpty()) {
            val world = open.removeLast()
            check(world.dispatched.size <= 1) { "dispatched twice: $world" }
            check(world.dispatched.none { it in world.saidNotRun }) { "denied a dispatched call: $world" }
            if (world.dispatched.isNotEmpty()) dispatches++
            if (world.saidNotRun.isNotEmpty()) denials++
            next(world).forEach { if (seen.add(it)) open.addLast(it) }
        }
        println("claim model: ${seen.size} states, $dispatches with a dispatch, $denials with a call said not to have run")
        expectThat(dispatches).isGreaterThan(0)
        expectThat(denials).isGreaterThan(0)
    }

    /** Guards against readers that decide differently at different times: a grant that was given must be the only one for ever. */
    @Test
    fun `a grant that one reader gave is the only one for every later reader until it is voided`() {
        val entries = listOf(claims.getValue("a1"), claims.getValue("b1"), claims.getValue("a2"), notRun(claims.getValue("a1")))
        for (order in permutations(entries)) {
            for (length in 1..order.size) {
                val index = indexOf(*order.take(length).toTypedArray())
                val granted = order.take(length).filterIsInstance<Claim>().filter { index.decide(it) is ClaimDecision.Granted }
                expectThat(granted.size).isEqualTo(if (index.peek(claim("c")) == null) 0 else 1)
            }
        }
    }

    private fun next(world: World): List<World> = world.callers.indices.flatMap { next(world, it) } + world.delayed.map { late ->
        world.copy(log = world.log + late, delayed = world.delayed - late)
    }

    private fun next(world: World, at: Int): List<World> {
        val caller = world.callers[at]
        val claim = caller.claim
        fun World.to(step: Step, unsent: List<ClaimEntry> = caller.unsent) =
            copy(callers = callers.toMutableList().also { it[at] = caller.copy(step = step, unsent = unsent) })
        fun World.appended(entry: ClaimEntry) = copy(log = log + entry)
        fun World.delaying(entry: ClaimEntry) = if (delayed.size < 2) copy(delayed = delayed + entry) else this
        fun deny(isInLog: Boolean) = world.copy(saidNotRun = world.saidNotRun + claim.claimId)
            .to(Step.ENDED, if (isInLog) caller.unsent + notRun(claim) else caller.unsent)
        fun end(claimant: Claimant) = when (claimant.fail()) {
            ClaimantState.NotRun -> deny(isInLog = true)
            else -> world.to(Step.ENDED, caller.unsent + UnknownEntry(claim.claimId, claim.key))
        }
        val reports = caller.unsent.flatMap { entry ->
            val sent = world.to(caller.step, caller.unsent - entry)
            listOf(sent.appended(entry), sent.delaying(entry))
        }
        return reports + when (caller.step) {
            Step.START -> listOf(
                world.appended(claim).to(Step.READ),
                world.appended(claim).to(Step.UNANSWERED),
                world.delaying(claim).to(Step.UNANSWERED),
                world.to(Step.UNANSWERED),
                deny(isInLog = false),
            )

            Step.UNANSWERED -> listOf(world.appended(claim).to(Step.READ), deny(isInLog = true))

            Step.READ -> {
                val decided = when (indexOf(*world.log.toTypedArray()).decide(claim)) {
                    is ClaimDecision.Granted -> world.to(Step.GRANTED)
                    is ClaimDecision.LogUnavailable -> deny(isInLog = true)
                    else -> world.to(Step.ENDED)
                }
                listOf(decided, deny(isInLog = true))
            }

            // In time, after a pause that the grant does not outlast, and without a connection.
            Step.GRANTED -> listOf(START_MS, START_MS + 1).map { nowMs ->
                val claimant = Claimant(dispatchByMs = START_MS)
                val isWritten = claimant.startDispatch(nowMs)
                if (isWritten) world.copy(dispatched = world.dispatched + claim.claimId).to(Step.DISPATCHED) else end(claimant)
            } + end(Claimant(START_MS))

            Step.DISPATCHED -> {
                val claimant = Claimant(dispatchByMs = START_MS).apply { startDispatch(START_MS) }
                val answered = world.to(Step.ENDED, caller.unsent + outcomes.getValue(claim.claimId))
                listOf(answered, end(claimant))
            }

            Step.ENDED -> listOfNotNull(
                world.copy(callers = world.callers.toMutableList().also { it[at] = caller.copy(attempt = 2, step = Step.START) })
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
