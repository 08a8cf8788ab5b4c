package org.godwitwick.core.admission

import org.godwitwick.core.error.ErrorKind
import org.godwitwick.core.error.Executed
import org.godwitwick.core.error.Failure
import org.godwitwick.core.model.Deadline
import org.godwitwick.core.model.OrganisationId
import org.godwitwick.core.model.PromptClass
import org.godwitwick.core.placement.WorkEstimate
import kotlin.random.Random

/** The properties of a request that admission depends on. */
data class AdmissionRequest(
    val organisation: OrganisationId,
    val promptClass: PromptClass,
    val work: WorkEstimate,
    val deadline: Deadline,
) {
    /** Whether the request is a long read. Long reads are limited to a share of the replicas. */
    val isLongRead: Boolean get() = promptClass >= PromptClass.LONG
}

/**
 * Capacity of a model's replicas that is available to this instance.
 *
 * @property replicas number of replicas of the model in the data centre.
 * @property tokensPerSecond prefill speed of one replica.
 * @property ownFraction this instance's fraction of the capacity for shorter requests.
 * @property longReads number of long reads that this instance may run now.
 * @property averageLongReads number of long reads that it may run on average, as [longReads] varies with the long reads of other
 *   instances in the data centre.
 */
data class AdmissionCapacity(
    val replicas: Int,
    val tokensPerSecond: Double,
    val ownFraction: Double,
    val longReads: Int,
    val averageLongReads: Double = longReads.toDouble(),
)

/** Decision about one request: [failure] is the reason for refusal, or null if the request may be dispatched. */
class AdmissionDecision<T>(val request: AdmissionRequest, val item: T, val failure: Failure?)

/**
 * Admission control for one model at one instance: bounded fair queues, a limit on long reads, and refusal of requests that
 * cannot finish before their deadline. Not thread safe. Items of type [T] are opaque to the controller.
 *
 * @property random adds jitter to the advised retry delays, so that refused callers do not all return at once.
 */
class AdmissionController<T>(private val config: AdmissionConfig, private val random: Random) {
    private class Item<T>(val request: AdmissionRequest, val item: T)

    private val queues = List(LANES) { FairQueue<Item<T>>(QUANTUM_TOKENS, config::weightOf) }

    // Prefill tokens of admitted requests that have no first token yet, by lane.
    private val inFlightTokens = LongArray(LANES)
    private var capacity = AdmissionCapacity(0, 1.0, 0.0, 0)
    private var recoveringFromMs = Long.MIN_VALUE
    private var wasMediumPromoted = false

    // Set when requests arrived or were queued while there were no replicas; an instance that has just started is not in an
    // outage.
    private var isOutage = false
    private var longSlowdown = INITIAL_LONG_SLOWDOWN

    /** Number of long reads admitted by this instance that have no first token yet. */
    var longReads = 0
        private set

    /** Number of queued requests. */
    val waiting: Int get() = queues.sumOf { it.size }

    /** Updates the capacity. If replicas become available after an outage, recovery starts, see [startRecovery]. */
    fun onCapacity(newCapacity: AdmissionCapacity, nowMs: Long) {
        if (newCapacity.replicas == 0 && waiting > 0) isOutage = true
        if (newCapacity.replicas > 0 && isOutage) startRecovery(nowMs)
        capacity = newCapacity
    }

    /** Limits admission for [RECOVERY_MS] from [nowMs], because after an outage the waiting callers return all at once. */
    fun startRecovery(nowMs: Long) {
        recoveringFromMs = nowMs
        isOutage = false
    }

    /** Adds [item] to its queue, and returns the requests that were refused in the process, possibly [item] itself. */
    fun enqueue(request: AdmissionRequest, item: T, nowMs: Long): List<AdmissionDecision<T>> {
        refusalOf(request, nowMs)?.let { return listOf(AdmissionDecision(request, item, it)) }
        val lane = laneOf(request)
        val queue = queues[lane]
        queue.add(QueuedItem(request.organisation, request.work.workTokens, nowMs, Item(request, item)))
        if (queue.size <= boundOf(lane, request.promptClass, nowMs)) return emptyList()
        val expired = expire(nowMs)
        if (expired.isNotEmpty()) return expired
        // Sheds from the organisation with the most queued work, so that a flood displaces only requests of its own organisation.
        return listOfNotNull(queue.shedHeaviest()).map { refused(it, overloaded("the queue is full", request, nowMs)) }
    }

    /**
     * Returns the queued requests that may be dispatched at [nowMs] and those refused because they can no longer meet their
     * deadline.
     */
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

    /** Records that an admitted [request] produced its first token, or ended without one, [tookMs] after its dispatch. */
    fun onPrefilled(request: AdmissionRequest, tookMs: Long, isFirstToken: Boolean) {
        val lane = laneOf(request)
        inFlightTokens[lane] = (inFlightTokens[lane] - request.work.prefillTokens).coerceAtLeast(0)
        if (!request.isLongRead) return
        longReads = (longReads - 1).coerceAtLeast(0)
        if (!isFirstToken) return
        val observed = (tookMs / prefillMs(request)).coerceIn(1.0, MAX_SLOWDOWN)
        longSlowdown += (observed - longSlowdown) * SLOWDOWN_SMOOTHING
    }

    private fun admit(lane: Int): AdmissionDecision<T> {
        val taken = checkNotNull(queues[lane].take()) { "lane $lane is empty" }
        inFlightTokens[lane] += taken.item.request.work.prefillTokens
        return AdmissionDecision(taken.item.request, taken.item.item, null)
    }

    // Short requests go first. A medium request that has waited longer than LATE_MEDIUM_MS goes before them, but never two in a
    // row.
    private fun nextShorterLane(nowMs: Long): Int? {
        val short = queues[SHORT_LANE].peek()
        val medium = queues[MEDIUM_LANE].peek()
        val window = windowTokens(nowMs)
        val isShortOpen = short != null && fits(inFlightTokens[SHORT_LANE], short, window)
        val isMediumOpen = medium != null && fits(inFlightTokens[SHORT_LANE] + inFlightTokens[MEDIUM_LANE], medium, window)
        val isMediumLate = (queues[MEDIUM_LANE].oldestAtMs ?: nowMs) < nowMs - LATE_MEDIUM_MS
        if (medium != null && isMediumLate && !wasMediumPromoted && fits(inFlightTokens[MEDIUM_LANE], medium, window)) {
            wasMediumPromoted = true
            return MEDIUM_LANE
        }
        wasMediumPromoted = false
        return if (isShortOpen) SHORT_LANE else MEDIUM_LANE.takeIf { isMediumOpen }
    }

    private fun fits(laneTokens: Long, next: QueuedItem<Item<T>>, window: Double): Boolean =
        laneTokens == 0L || laneTokens + next.item.request.work.prefillTokens <= window

    private fun refusalOf(request: AdmissionRequest, nowMs: Long): Failure? {
        if (capacity.replicas == 0) {
            isOutage = true
            return Failure(ErrorKind.NO_UPSTREAM, "this instance knows no replica of the model")
        }
        if (cannotFinish(request, nowMs)) return tooLate("the deadline is shorter than the processing time of the request")
        if (request.isLongRead &&
            isRecovering(nowMs)
        ) {
            return overloaded("long reads are refused during recovery from an outage", request, nowMs)
        }
        if (cannotFinish(request, nowMs + expectedWaitMs(request))) {
            return overloaded("the deadline cannot be met behind the queued requests", request, nowMs)
        }
        return null
    }

    private fun cannotFinish(request: AdmissionRequest, startMs: Long): Boolean =
        startMs + serviceMs(request) > request.deadline.atMs

    // Callers request more tokens than they use, so generation counts as at most the length of a typical answer.
    private fun serviceMs(request: AdmissionRequest): Long {
        val slowdown = if (request.isLongRead) longSlowdown * LONG_MARGIN else 1.0
        return (prefillMs(request) * slowdown + minOf(request.work.decodeTokens, TYPICAL_DECODE_TOKENS) * TOKEN_GAP_MS).toLong()
    }

    private fun prefillMs(request: AdmissionRequest): Double =
        request.work.prefillTokens / capacity.tokensPerSecond * MS_PER_SECOND

    private fun expectedWaitMs(request: AdmissionRequest): Long {
        val lane = laneOf(request)
        val aheadTokens = queues[lane].workAhead(request.organisation, request.work.workTokens) + inFlightTokens[lane]
        if (lane == LONG_LANE) {
            if (longReads < capacity.longReads && queues[lane].size == 0) return 0
            val slots = maxOf(capacity.averageLongReads, capacity.longReads.toDouble(), 1.0)
            val tokensPerSecond = slots * capacity.tokensPerSecond / longSlowdown
            return (aheadTokens / tokensPerSecond * MS_PER_SECOND).toLong()
        }
        val shortTokens = if (lane == MEDIUM_LANE) queues[SHORT_LANE].workTokens else 0
        val tokensPerSecond = (capacity.replicas * capacity.tokensPerSecond * capacity.ownFraction).coerceAtLeast(1.0)
        return ((aheadTokens + shortTokens) / tokensPerSecond * MS_PER_SECOND).toLong()
    }

    private fun expire(nowMs: Long): List<AdmissionDecision<T>> = queues.flatMap { queue ->
        queue.removeIf {
            cannotFinish(it.item.request, nowMs)
        }.map { refused(it, tooLate("the request was queued too long to meet its deadline")) }
    }

    private fun refused(queued: QueuedItem<Item<T>>, failure: Failure) =
        AdmissionDecision(queued.item.request, queued.item.item, failure)

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

    // Halves the medium queue during recovery: long reads are shed first, then medium requests, then short ones.
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

        /** Grant per turn of the fair queues: about the work of one short request. Smaller grants only take more turns. */
        const val QUANTUM_TOKENS = 4_000L

        /**
         * Prefill work that may be in flight, in seconds of capacity: enough to keep the engines busy between two load reports.
         */
        const val WINDOW_SECONDS = 1.0

        /** Time in the queue after which a medium request goes before short ones. */
        const val LATE_MEDIUM_MS = 2_000L

        /** Duration of recovery after an outage, in which the prefill window grows from a quarter to its full size. */
        const val RECOVERY_MS = 4_000L
        private const val RECOVERY_START = 0.25

        /** Target time between two generated tokens. */
        private const val TOKEN_GAP_MS = 45.0
        private const val TYPICAL_DECODE_TOKENS = 256L

        // Long reads run at a lower priority than other work. Their slowdown is estimated from observed times to first token, and
        // the margin covers its variation.
        private const val INITIAL_LONG_SLOWDOWN = 1.5
        private const val LONG_MARGIN = 1.3
        private const val MAX_SLOWDOWN = 20.0
        private const val SLOWDOWN_SMOOTHING = 0.2
        private const val MIN_RETRY_MS = 500L
        private const val MAX_RETRY_MS = 30_000L
        private const val MS_PER_SECOND = 1_000.0
    }
}
