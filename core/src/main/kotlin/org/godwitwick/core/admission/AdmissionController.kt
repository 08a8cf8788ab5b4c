package org.godwitwick.core.admission

import org.godwitwick.core.error.ErrorKind
import org.godwitwick.core.error.Executed
import org.godwitwick.core.error.Failure
import org.godwitwick.core.model.Deadline
import org.godwitwick.core.model.OrganisationId
import org.godwitwick.core.model.PromptClass
import org.godwitwick.core.placement.WorkEstimate
import kotlin.random.Random

/** What admission needs to know of a request. */
data class AdmissionRequest(
    val organisation: OrganisationId,
    val promptClass: PromptClass,
    val work: WorkEstimate,
    val deadline: Deadline,
) {
    /** Whether the request is a long read, which has a share of replicas of its own. */
    val isLongRead: Boolean get() = promptClass >= PromptClass.LONG
}

/**
 * What this instance may use of the model's replicas.
 *
 * @property replicas replicas of the model in the data centre.
 * @property tokensPerSecond prefill speed of one.
 * @property ownFraction this instance's part of the shorter requests' capacity.
 * @property longReads long reads that this instance may run now.
 * @property usualLongReads long reads that it may run on average, while others of the data centre come and go.
 */
data class AdmissionCapacity(
    val replicas: Int,
    val tokensPerSecond: Double,
    val ownFraction: Double,
    val longReads: Int,
    val usualLongReads: Double = longReads.toDouble(),
)

/** Decision about one waiting request. [failure] is null when it may be dispatched. */
class AdmissionDecision<T>(val request: AdmissionRequest, val item: T, val failure: Failure?)

/**
 * Admission of one model at one instance: bounded fair queues, the long-read share and refusal of what can't end in time.
 * One owner calls it; items of type [T] are the owner's.
 *
 * @property random spreads the advised waits, so that refused callers don't all return at once.
 */
class AdmissionController<T>(private val config: AdmissionConfig, private val random: Random) {
    private class Item<T>(val request: AdmissionRequest, val item: T)

    private val queues = List(LANES) { FairQueue<Item<T>>(QUANTUM_TOKENS, config::weightOf) }
    private val startedWaiting = LongArray(LANES)
    private var capacity = AdmissionCapacity(0, 1.0, 0.0, 0)
    private var recoveringFromMs = Long.MIN_VALUE
    private var isMediumTurnOver = false

    // Without replicas although requests came; an instance that has just started is not in an outage.
    private var isOutage = false
    private var longSlowdown = INITIAL_LONG_SLOWDOWN

    /** Long reads admitted here whose first token has not come. */
    var longReads = 0
        private set

    /** Requests that wait. */
    val waiting: Int get() = queues.sumOf { it.size }

    /** Takes the capacity in force. When replicas come back after requests found none, admission starts slowly. */
    fun onCapacity(newCapacity: AdmissionCapacity, nowMs: Long) {
        if (newCapacity.replicas == 0 && waiting > 0) isOutage = true
        if (newCapacity.replicas > 0 && isOutage) startRecovery(nowMs)
        capacity = newCapacity
    }

    /** Starts slowly from [nowMs] on, because callers that waited out an outage come back at once. */
    fun startRecovery(nowMs: Long) {
        recoveringFromMs = nowMs
        isOutage = false
    }

    /** Queues [item]; returns the requests that were refused because of it, which may include itself. */
    fun arrive(request: AdmissionRequest, item: T, nowMs: Long): List<AdmissionDecision<T>> {
        refusalOf(request, nowMs)?.let { return listOf(AdmissionDecision(request, item, it)) }
        val lane = laneOf(request)
        val queue = queues[lane]
        queue.add(Waiting(request.organisation, request.work.workTokens, nowMs, Item(request, item)))
        if (queue.size <= boundOf(lane, request.promptClass, nowMs)) return emptyList()
        val doomed = expire(nowMs)
        if (doomed.isNotEmpty()) return doomed
        // The organisation that waits with the most work loses its newest request, so a flood displaces only itself.
        return listOfNotNull(queue.shedHeaviest()).map { refused(it, overloaded("the queue is full", request, nowMs)) }
    }

    /** Decides which waiting requests may be dispatched at [nowMs] and which can't end in time any more. */
    fun release(nowMs: Long): List<AdmissionDecision<T>> {
        val decisions = ArrayList(expire(nowMs))
        while (true) {
            val lane = nextShorterLane(nowMs) ?: break
            decisions += admit(lane)
        }
        while (longReads < capacity.longReads && !isRecovering(nowMs)) {
            if (queues[LONG_LANE].size == 0) break
            decisions += admit(LONG_LANE)
            longReads++
        }
        return decisions
    }

    /** Records that an admitted [request] has its first token, or ended without one, after [tookMs] since its dispatch. */
    fun onPrefilled(request: AdmissionRequest, tookMs: Long, isFirstToken: Boolean) {
        val lane = laneOf(request)
        startedWaiting[lane] = (startedWaiting[lane] - request.work.prefillTokens).coerceAtLeast(0)
        if (!request.isLongRead) return
        longReads = (longReads - 1).coerceAtLeast(0)
        if (!isFirstToken) return
        val observed = (tookMs / prefillMs(request)).coerceIn(1.0, MAX_SLOWDOWN)
        longSlowdown += (observed - longSlowdown) * SLOWDOWN_SMOOTHING
    }

    private fun admit(lane: Int): AdmissionDecision<T> {
        val taken = checkNotNull(queues[lane].take()) { "lane $lane is empty" }
        startedWaiting[lane] += taken.item.request.work.prefillTokens
        return AdmissionDecision(taken.item.request, taken.item.item, null)
    }

    // Short requests first. A medium one that has waited long goes before them, but never two in a row.
    private fun nextShorterLane(nowMs: Long): Int? {
        val short = queues[SHORT_LANE].peek()
        val medium = queues[MEDIUM_LANE].peek()
        val window = windowTokens(nowMs)
        val isShortOpen = short != null && fits(startedWaiting[SHORT_LANE], short, window)
        val isMediumOpen = medium != null && fits(startedWaiting[SHORT_LANE] + startedWaiting[MEDIUM_LANE], medium, window)
        val isMediumLate = (queues[MEDIUM_LANE].oldestAtMs ?: nowMs) < nowMs - LATE_MEDIUM_MS
        if (medium != null && isMediumLate && !isMediumTurnOver && fits(startedWaiting[MEDIUM_LANE], medium, window)) {
            isMediumTurnOver = true
            return MEDIUM_LANE
        }
        isMediumTurnOver = false
        return if (isShortOpen) SHORT_LANE else MEDIUM_LANE.takeIf { isMediumOpen }
    }

    private fun fits(startedTokens: Long, next: Waiting<Item<T>>, window: Double): Boolean =
        startedTokens == 0L || startedTokens + next.item.request.work.prefillTokens <= window

    private fun refusalOf(request: AdmissionRequest, nowMs: Long): Failure? {
        if (capacity.replicas == 0) {
            isOutage = true
            return Failure(ErrorKind.NO_UPSTREAM, "no replica of the model is known here")
        }
        if (cannotEnd(request, nowMs)) return tooLate("the deadline is shorter than the request's own work")
        if (request.isLongRead &&
            isRecovering(nowMs)
        ) {
            return overloaded("long reads wait while the fleet recovers", request, nowMs)
        }
        if (cannotEnd(request, nowMs + expectedWaitMs(request))) {
            return overloaded("the deadline can't be met behind the requests that wait", request, nowMs)
        }
        return null
    }

    private fun cannotEnd(request: AdmissionRequest, startMs: Long): Boolean =
        startMs + serviceMs(request) > request.deadline.atMs

    // Callers ask for more tokens than they use, so only a usual answer is counted.
    private fun serviceMs(request: AdmissionRequest): Long {
        val slowdown = if (request.isLongRead) longSlowdown * LONG_MARGIN else 1.0
        return (prefillMs(request) * slowdown + minOf(request.work.decodeTokens, USUAL_DECODE_TOKENS) * TOKEN_GAP_MS).toLong()
    }

    private fun prefillMs(request: AdmissionRequest): Double =
        request.work.prefillTokens / capacity.tokensPerSecond * MS_PER_SECOND

    private fun expectedWaitMs(request: AdmissionRequest): Long {
        val lane = laneOf(request)
        val ahead = queues[lane].workAhead(request.organisation, request.work.workTokens) + startedWaiting[lane]
        if (lane == LONG_LANE) {
            if (longReads < capacity.longReads && queues[lane].size == 0) return 0
            val places = maxOf(capacity.usualLongReads, capacity.longReads.toDouble(), 1.0)
            val perSecond = places * capacity.tokensPerSecond / longSlowdown
            return (ahead / perSecond * MS_PER_SECOND).toLong()
        }
        val before = if (lane == MEDIUM_LANE) queues[SHORT_LANE].workTokens else 0
        val perSecond = (capacity.replicas * capacity.tokensPerSecond * capacity.ownFraction).coerceAtLeast(1.0)
        return ((ahead + before) / perSecond * MS_PER_SECOND).toLong()
    }

    private fun expire(nowMs: Long): List<AdmissionDecision<T>> = queues.flatMap { queue ->
        queue.removeIf {
            cannotEnd(it.item.request, nowMs)
        }.map { refused(it, tooLate("the request waited too long to end in time")) }
    }

    private fun refused(waiting: Waiting<Item<T>>, failure: Failure) =
        AdmissionDecision(waiting.item.request, waiting.item.item, failure)

    private fun overloaded(message: String, request: AdmissionRequest, nowMs: Long): Failure {
        val waitMs = expectedWaitMs(request).coerceIn(MIN_RETRY_MS, MAX_RETRY_MS)
        val recoveryMs = if (isRecovering(nowMs)) RECOVERY_MS else 0
        return Failure(ErrorKind.OVERLOADED, message, retryAfterMs = recoveryMs + (waitMs * (1 + random.nextDouble())).toLong())
    }

    private fun tooLate(message: String) = Failure(ErrorKind.DEADLINE_EXCEEDED, message, ran = Executed.NO)

    private fun windowTokens(nowMs: Long): Double {
        val window = capacity.replicas * capacity.tokensPerSecond * capacity.ownFraction * WINDOW_SECONDS
        if (!isRecovering(nowMs)) return window
        val progress = (nowMs - recoveringFromMs).toDouble() / RECOVERY_MS
        return window * (RECOVERY_START + (1 - RECOVERY_START) * progress)
    }

    private fun isRecovering(nowMs: Long) = recoveringFromMs != Long.MIN_VALUE && nowMs - recoveringFromMs < RECOVERY_MS

    // Medium requests get half of their queue while the fleet recovers: after long reads they are shed next, short ones last.
    private fun boundOf(lane: Int, promptClass: PromptClass, nowMs: Long): Int {
        val bound = config.queueMax(promptClass)
        return if (lane == MEDIUM_LANE && isRecovering(nowMs)) (bound / 2).coerceAtLeast(1) else bound
    }

    private fun laneOf(request: AdmissionRequest): Int = minOf(request.promptClass.ordinal, LONG_LANE)

    companion object {
        private const val SHORT_LANE = 0
        private const val MEDIUM_LANE = 1
        private const val LONG_LANE = 2
        private const val LANES = 3

        /** About the work of one short request; smaller grants only cost more turns. */
        const val QUANTUM_TOKENS = 4_000L

        /** Prefill that may wait at the engines: enough to keep them busy between two load reports. */
        const val WINDOW_SECONDS = 1.0

        /** Wait after which a medium request goes before short ones. */
        const val LATE_MEDIUM_MS = 2_000L

        /** Time in which the window grows from a quarter to its whole after an outage. */
        const val RECOVERY_MS = 4_000L
        private const val RECOVERY_START = 0.25

        /** Target for the gap between tokens. */
        private const val TOKEN_GAP_MS = 45.0
        private const val USUAL_DECODE_TOKENS = 256L

        // A long read runs below other work; its slowdown is learned from first tokens, and the margin covers its variation.
        private const val INITIAL_LONG_SLOWDOWN = 1.5
        private const val LONG_MARGIN = 1.3
        private const val MAX_SLOWDOWN = 20.0
        private const val SLOWDOWN_SMOOTHING = 0.2
        private const val MIN_RETRY_MS = 500L
        private const val MAX_RETRY_MS = 30_000L
        private const val MS_PER_SECOND = 1_000.0
    }
}
