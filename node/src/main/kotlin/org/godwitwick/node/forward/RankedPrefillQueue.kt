package org.godwitwick.node.forward

import org.godwitwick.core.forward.OrderedPrompt
import org.godwitwick.core.forward.ShareOrder
import org.godwitwick.core.forward.WaitingPrompt
import org.godwitwick.core.model.InstanceId
import java.util.concurrent.Semaphore
import java.util.concurrent.TimeUnit
import kotlin.random.Random

/** How the wait of a [RankedPrefillQueue.Ticket] for its next turn has ended. */
enum class RankedTurnEnd { TURN, REFUSED, CANCELLED }

/**
 * The last placement of a prompt that has to wait.
 *
 * @property engines the engines on which it would be placed; kept for it as long as it can meet its target there.
 * @property isOnTime whether it can still meet its target. One that can't begins only when engines are almost idle, and keeps none.
 */
data class RankedForecast(val engines: Set<InstanceId>, val isOnTime: Boolean) {
    internal companion object {
        val UNTRIED = RankedForecast(emptySet(), isOnTime = false)
    }
}

/**
 * Long prompts that wait at this instance for the engines of services that are contended by rank, in the order of [ShareOrder].
 *
 * At an event, the first prompt is placed again. Only if it still has to wait are the next ones placed, without the engines that are
 * kept for the prompts ahead of them. Events are an end of a request or of a prefill of this instance, the departure of a prompt that
 * waited, a report of less work, and the arrival of a prompt that others precede; if that one were placed at once, callers would gain by
 * returning often. A pass of such placements tries few prompts, one after the other, each in the thread of its request. A slow timer,
 * which is that of the waiting threads, starts a pass if no event occurs. Thread safe.
 *
 * @param places the places of all prompts that wait at this instance, whether or not their service is contended by rank.
 * @param recentWork returns the recent work by organisation at a time of [nowMs].
 */
class RankedPrefillQueue(
    private val places: PrefillQueue,
    private val recentWork: (nowMs: Long) -> Map<Int, Double>,
    private val nowMs: () -> Long,
    private val random: Random,
) {
    private val waiting = ArrayList<Ticket>()

    // The prompt that is placed again at present, and those that follow it in the same pass.
    private var active: Ticket? = null
    private val pass = ArrayDeque<Ticket>()
    private var lastPassAtMs = 0L
    private var pendingEvent: Event? = null

    private enum class Event { OWN, REPORT }

    /** Number of prompts that wait. */
    @Volatile
    var size = 0
        private set

    /** Whether no prompt waits that precedes [prompt], so that it may be placed at once. */
    @Synchronized
    fun isFirst(prompt: WaitingPrompt): Boolean {
        if (waiting.isEmpty()) return true
        val ticket = Ticket(prompt, RankedForecast.UNTRIED)
        return ordered(waiting + ticket).first().item === ticket
    }

    /**
     * Adds [prompt], which has to wait as in [forecast], or for the prompts ahead of it if null; it then gets its turn after those. If
     * all places are taken, the last one in order is refused; returns null if that is [prompt].
     */
    @Synchronized
    fun enter(prompt: WaitingPrompt, forecast: RankedForecast?): Ticket? {
        val ticket = Ticket(prompt, forecast ?: RankedForecast.UNTRIED)
        // The fallback timer counts from here.
        if (waiting.isEmpty()) lastPassAtMs = nowMs()
        waiting += ticket
        if (!places.tryEnter()) {
            val last = ordered(waiting).last().item
            waiting -= last
            if (last === ticket) return null
            waiting.first().wake()
            // Its place passes to the new prompt.
            last.refuse()
        }
        size = waiting.size
        if (forecast == null) startPass(Event.OWN)
        return ticket
    }

    /** Places the first prompt again because a request or a prefill of this instance has ended. */
    fun onOwnEnd() = onEvent(Event.OWN)

    /** Places the first prompt again because another instance reports less work. */
    fun onReport() = onEvent(Event.REPORT)

    /** The prompts that wait, in order. */
    @Synchronized
    fun inOrder(): List<OrderedPrompt<Ticket>> = ordered(waiting)

    /** Time for which the first of the present prompts to arrive has waited, in milliseconds; zero if none waits. */
    @Synchronized
    fun longestWaitMs(): Long = waiting.minOfOrNull { it.enteredAtMs }?.let { nowMs() - it } ?: 0

    private fun keptAhead(ticket: Ticket): Set<InstanceId> {
        if (waiting.none { it !== ticket && it.kept.isNotEmpty() }) return emptySet()
        val all = if (ticket in waiting) waiting else waiting + ticket
        return ordered(all).takeWhile { it.item !== ticket }.flatMapTo(HashSet()) { it.item.kept }
    }

    private fun ordered(tickets: List<Ticket>) = ShareOrder.order(tickets, Ticket::prompt, recentWork(nowMs()))

    private fun onEvent(event: Event) {
        if (size > 0) synchronized(this) { startPass(event) }
    }

    // Called with the lock of this queue, like [proceed].
    private fun startPass(event: Event) {
        if (active != null) {
            if (pendingEvent != Event.OWN) pendingEvent = event
            return
        }
        pendingEvent = null
        if (waiting.isEmpty()) return
        val now = nowMs()
        lastPassAtMs = now
        val tickets = ordered(waiting).map { it.item }
        val following = tickets.drop(1).filter { it.forecast.isOnTime }.take(MAX_FOLLOWING).toSet()
        pass += tickets.filterIndexed { i, ticket -> i == 0 || ticket in following || now - ticket.triedAtMs >= MAX_UNTRIED_MS }
        // Other instances receive the same report at the same time and must not choose the same engines.
        pass.first().delayMs = if (event == Event.REPORT) random.nextLong(MIN_DELAY_MS, MAX_DELAY_MS) else 0
        proceed()
    }

    // Gives the turn to the next prompt of the pass.
    private fun proceed() {
        active = null
        while (active == null && pass.isNotEmpty()) active = pass.removeFirst().takeIf { it in waiting }
        active?.wake()
        if (active == null) {
            // The timer counts from the end of a pass, so that long passes in a large fleet do not follow each other without a pause.
            lastPassAtMs = nowMs()
            startPass(pendingEvent ?: return)
        }
    }

    /** The place of a prompt in the queue. Used by the thread of its request, except [wake]. */
    inner class Ticket internal constructor(val prompt: WaitingPrompt, internal var forecast: RankedForecast) {
        private val signal = Semaphore(0)
        private var isRefused = false
        internal val enteredAtMs = nowMs()
        internal var triedAtMs = if (forecast === RankedForecast.UNTRIED) enteredAtMs - MAX_UNTRIED_MS else enteredAtMs
        internal var delayMs = 0L

        internal val kept: Set<InstanceId> get() = if (forecast.isOnTime) forecast.engines else emptySet()

        /** Engines that are kept for the prompts ahead of this one; it must not be placed on them. */
        fun keptAhead(): Set<InstanceId> = synchronized(this@RankedPrefillQueue) { keptAhead(this) }

        /** Makes [await] look for the end of the wait. */
        fun wake() = signal.release()

        /** Waits for the next turn of this prompt, or until [mayGoOn] is false after a [wake]. */
        fun await(mayGoOn: () -> Boolean): RankedTurnEnd {
            while (true) {
                val wasWoken = signal.tryAcquire(timeoutMs(), TimeUnit.MILLISECONDS)
                if (!mayGoOn()) return RankedTurnEnd.CANCELLED
                synchronized(this@RankedPrefillQueue) {
                    if (isRefused) return RankedTurnEnd.REFUSED
                    if (active === this) return RankedTurnEnd.TURN
                    if (!wasWoken && active == null && nowMs() - lastPassAtMs >= FALLBACK_MS) startPass(Event.OWN)
                }
            }
        }

        /** Delay before the placement of this turn, in milliseconds. */
        fun takeDelayMs(): Long = synchronized(this@RankedPrefillQueue) { delayMs.also { delayMs = 0 } }

        /** Ends the turn: the prompt still has to wait, as in [newForecast]. */
        fun stay(newForecast: RankedForecast) = synchronized(this@RankedPrefillQueue) {
            forecast = newForecast
            triedAtMs = nowMs()
            if (active === this) proceed()
        }

        /** Ends the wait. The others are placed again, because this prompt was placed or its engines are no longer kept. */
        fun leave() = synchronized(this@RankedPrefillQueue) {
            val wasWaiting = waiting.remove(this)
            if (wasWaiting) {
                places.leave()
                // The next one may have to take over the timer.
                waiting.firstOrNull()?.wake()
            }
            size = waiting.size
            if (active === this) {
                pass.clear()
                active = null
                startPass(Event.OWN)
            } else if (wasWaiting) {
                startPass(Event.OWN)
            }
        }

        // Called with the lock of the queue.
        internal fun refuse() {
            isRefused = true
            wake()
        }

        // The thread of the first prompt to arrive looks after the timer. The other threads wake rarely.
        private fun timeoutMs(): Long = synchronized(this@RankedPrefillQueue) {
            if (waiting.firstOrNull() !== this) return random.nextLong(SPARE_TIMEOUT_MS, SPARE_TIMEOUT_MS * 3 / 2)
            val minMs = (lastPassAtMs + FALLBACK_MS - nowMs()).coerceIn(MIN_TIMEOUT_MS, FALLBACK_MS)
            random.nextLong(minMs, minMs * 3 / 2)
        }
    }

    private companion object {
        /**
         * Time after a pass after which the first prompt is placed again without an event. The prefill known to be pending shrinks with time,
         * so an engine may be free without an event; a waiting prompt is not to lose more than about 50 ms then.
         */
        const val FALLBACK_MS = 30L
        const val MIN_TIMEOUT_MS = 5L

        /** Wait of the threads that do not look after the timer, in case that the one that does is late. */
        const val SPARE_TIMEOUT_MS = 500L

        /**
         * A prompt further behind is placed again at least this often, so that a late one finds idle engines, and one whose caller leaves
         * is refused before that.
         */
        const val MAX_UNTRIED_MS = 150L

        /** Prompts after the first that are placed again at one event; bounds its processor time. */
        const val MAX_FOLLOWING = 7
        const val MIN_DELAY_MS = 5L
        const val MAX_DELAY_MS = 30L
    }
}
