package org.godwitwick.node.forward

import org.godwitwick.core.forward.WaitingPrompt
import org.godwitwick.core.model.InstanceId
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import strikt.assertions.isTrue
import java.util.concurrent.CompletableFuture
import java.util.concurrent.Executors
import java.util.concurrent.Future
import java.util.concurrent.TimeUnit
import java.util.concurrent.TimeoutException
import kotlin.random.Random

class RankedPrefillQueueTest {
    private val recent = mapOf(BIG to 50_000.0, SMALL to 1_000.0)
    private val threads = Executors.newCachedThreadPool()
    private val engine = InstanceId("e1")
    private val otherEngine = InstanceId("e2")
    private val onTime = RankedForecast(setOf(engine), isOnTime = true)
    private val places = PrefillQueue(4)

    // The time stands still, so that the fallback timer starts no pass, except where a test advances it.
    @Volatile
    private var nowMs = 0L
    private val queue = RankedPrefillQueue(places, { recent }, { nowMs }, Random(1))

    @AfterEach
    fun stop() {
        threads.shutdownNow()
    }

    private fun enter(organisation: Int, targetAtMs: Long, level: Int = 0, forecast: RankedForecast? = onTime) =
        queue.enter(WaitingPrompt(level, organisation, 500.0, targetAtMs), forecast)

    private fun RankedPrefillQueue.Ticket.turn(): Future<RankedTurnEnd> = threads.submit<RankedTurnEnd> { await { true } }

    private fun Future<RankedTurnEnd>.result(): RankedTurnEnd = get(20, TimeUnit.SECONDS)

    private fun Future<RankedTurnEnd>.isPending(): Boolean = try {
        get(SOON_MS, TimeUnit.MILLISECONDS)
        false
    } catch (_: TimeoutException) {
        true
    }

    // Guards against a later prompt that overtakes, and against prompts that wait for a timer although engines are free.
    @Test
    fun `an event places the first prompt, and the next one only after it`() {
        val behind = enter(BIG, 100)!!
        val first = enter(SMALL, 200)!!
        val turnBehind = behind.turn()
        val turnFirst = first.turn()
        expectThat(turnFirst.isDone || turnBehind.isDone).isEqualTo(false)
        queue.onOwnEnd()
        expectThat(turnFirst.result()).isEqualTo(RankedTurnEnd.TURN)
        expectThat(turnBehind.isPending()).isTrue()
        first.leave()
        expectThat(turnBehind.result()).isEqualTo(RankedTurnEnd.TURN)
    }

    @Test
    fun `if the first still has to wait, the next one is placed without the engines of the first`() {
        val first = enter(SMALL, 200)!!
        val behind = enter(BIG, 100)!!
        val turn = behind.turn()
        queue.onReport()
        expectThat(first.turn().result()).isEqualTo(RankedTurnEnd.TURN)
        expectThat(first.takeDelayMs()).isGreaterThanOrEqualTo(5L)
        first.stay(RankedForecast(setOf(otherEngine), isOnTime = true))
        expectThat(turn.result()).isEqualTo(RankedTurnEnd.TURN)
        expectThat(behind.keptAhead()).isEqualTo(setOf(otherEngine))
        expectThat(first.keptAhead()).isEmpty()
    }

    // Guards against callers that gain by returning often: a request that arrives takes the engines that have just become free.
    @Test
    fun `a prompt that arrives is placed at once only if none is ahead of it, otherwise after those`() {
        val first = enter(SMALL, 200)!!
        expectThat(queue.isFirst(WaitingPrompt(0, NEW, 500.0, 900))).isEqualTo(true)
        expectThat(queue.isFirst(WaitingPrompt(0, BIG, 500.0, 50))).isEqualTo(false)
        val arrived = enter(BIG, 50, forecast = null)!!
        val turn = arrived.turn()
        expectThat(first.turn().result()).isEqualTo(RankedTurnEnd.TURN)
        expectThat(turn.isPending()).isTrue()
        first.stay(onTime)
        expectThat(turn.result()).isEqualTo(RankedTurnEnd.TURN)
        expectThat(arrived.keptAhead()).isEqualTo(setOf(engine))
    }

    // Guards against a late prompt, which begins only on idle engines, that holds up all prompts behind it.
    @Test
    fun `no engines are kept for a prompt that can no longer meet its target`() {
        enter(SMALL, 200, forecast = onTime.copy(isOnTime = false))
        expectThat(enter(BIG, 100)!!.keptAhead()).isEmpty()
    }

    // Guards against prompts that wait for ever when other instances stop to report and no request of this one ends.
    @Test
    fun `without events the timer places the first prompt again`() {
        val turn = enter(SMALL, 200)!!.turn()
        expectThat(turn.isPending()).isTrue()
        nowMs = 100
        expectThat(turn.result()).isEqualTo(RankedTurnEnd.TURN)
    }

    // Guards against a timer that stops when the prompt whose thread looks after it leaves: an engine that becomes free as time passes, which
    // is no event, would stay unused for half a second.
    @Test
    fun `the timer goes on after the first prompt to arrive has left`() {
        val live = RankedPrefillQueue(places, { recent }, Clocks::steadyMs, Random(3))
        fun enter(level: Int) =
            live.enter(WaitingPrompt(level, SMALL, 500.0, 900), RankedForecast(emptySet(), isOnTime = false))!!
        val arrivedFirst = enter(level = 0)
        val behind = enter(level = 1)
        val first = enter(level = 0)
        val turnsBehind = threads.submit { while (behind.await { true } == RankedTurnEnd.TURN) behind.stay(onTime) }
        expectThat(turnsBehind.isDone).isEqualTo(false)
        arrivedFirst.leave()
        val startedMs = Clocks.steadyMs()
        repeat(6) {
            expectThat(first.turn().result()).isEqualTo(RankedTurnEnd.TURN)
            first.stay(RankedForecast(emptySet(), isOnTime = false))
        }
        expectThat(Clocks.steadyMs() - startedMs).isLessThan(1_500)
    }

    @Test
    fun `an event during a placement places the first prompt once more`() {
        val first = enter(SMALL, 200)!!
        queue.onOwnEnd()
        expectThat(first.turn().result()).isEqualTo(RankedTurnEnd.TURN)
        queue.onOwnEnd()
        first.stay(onTime)
        expectThat(first.turn().result()).isEqualTo(RankedTurnEnd.TURN)
    }

    // Guards against refusals in the order of arrival, in which callers that return first would gain.
    @Test
    fun `a full queue refuses the last in order`() {
        val tickets = listOf(SMALL, SMALL, BIG, SMALL).mapIndexed { i, organisation -> enter(organisation, 100L + i)!! }
        val turn = tickets[2].turn()
        expectThat(enter(BIG, 900)).isNull()
        expectThat(enter(SMALL, 900)).isNotNull()
        expectThat(turn.result()).isEqualTo(RankedTurnEnd.REFUSED)
        tickets[2].leave()
        expectThat(queue.size).isEqualTo(4)
        expectThat(places.tryEnter()).isEqualTo(false)
    }

    // Guards against a place or a turn that a caller who has left keeps.
    @Test
    fun `a cancelled request frees its place and passes its turn on`() {
        val guard = RunGuard(deadlineMs = 10_000)
        val first = enter(SMALL, 200)!!
        val behind = enter(BIG, 100)!!
        guard.onCancelled(first::wake)
        queue.onOwnEnd()
        guard.onCallerDisconnect()
        expectThat(threads.submit<RankedTurnEnd> { first.await { guard.mayGoOn } }.result()).isEqualTo(RankedTurnEnd.CANCELLED)
        first.leave()
        expectThat(behind.turn().result()).isEqualTo(RankedTurnEnd.TURN)
        behind.leave()
        repeat(4) { expectThat(places.tryEnter()).isEqualTo(true) }
    }

    // Guards against a lost turn that stops the queue: many threads wait, are placed, are refused and are cancelled at the same time.
    @Test
    fun `all requests end while events, refusals and cancellations coincide`() {
        val live = RankedPrefillQueue(PrefillQueue(8), { recent }, Clocks::steadyMs, Random(2))
        val runs = (0 until 200).map { i ->
            CompletableFuture.supplyAsync({
                val ticket = live.enter(WaitingPrompt(i % 3, i % 5, 500.0, i.toLong()), onTime.takeIf { i % 2 == 0 })
                if (ticket != null) {
                    var turns = 0
                    while (ticket.await { i % 7 != 0 || turns == 0 } == RankedTurnEnd.TURN && ++turns < 3) ticket.stay(onTime)
                    ticket.leave()
                    live.onReport()
                }
                true
            }, threads)
        }
        val startedMs = Clocks.steadyMs()
        CompletableFuture.allOf(*runs.toTypedArray()).get(20, TimeUnit.SECONDS)
        expectThat(Clocks.steadyMs() - startedMs).isLessThan(20_000)
        expectThat(live.size).isEqualTo(0)
    }

    @Test
    fun `the advised return from a full queue is at least the wait of the others and is spread`() {
        val advised = listOf(0.0, 0.99).map { RunFailures.queueFull(2_000, 800, it).retryAfterMs!! }
        expectThat(advised).isEqualTo(listOf(2_000L, 3_980L))
    }

    private companion object {
        const val BIG = 1
        const val SMALL = 2
        const val NEW = 3

        /** Longer than the wait of the threads of two prompts for their next look at the queue. */
        const val SOON_MS = 350L
    }
}
