package org.godwitwick.lab.forward

import org.godwitwick.core.forward.EngineProfile

/**
 * Speed of an engine as the platform publishes it. Times are in milliseconds.
 *
 * @property stepMs time of one token step.
 * @property stepMsPerWriter further time of a step for each request that writes.
 * @property stepMsPerKiloToken further time of a step for a thousand tokens of their context.
 * @property chunkTokens most prompt tokens that are read in one step.
 * @property stride steps of a pass while requests write; also the tokens of one event.
 */
data class PassSpeed(
    val profile: EngineProfile,
    val stepMs: Double,
    val stepMsPerWriter: Double,
    val stepMsPerKiloToken: Double,
    val chunkTokens: Int,
    val stride: Int,
)

/** One request on the model engines. Times are in model milliseconds. */
class ModelRequest(arrival: MixArrival, internal val resident: PassEngine, partCount: Int) {
    val kind: MixKind = arrival.kind
    val promptTokens: Long = arrival.promptTokens
    val arrivedMs: Double = arrival.atMs
    internal var partsLeft = partCount
    internal var eventsLeft = arrival.events
    internal var lastEventMs = Double.NaN

    /** Time from the arrival to the first event, or NaN before. */
    var firstEventMs = Double.NaN
        private set

    /** Longest time between two events. */
    var longestPauseMs = 0.0
        private set

    internal fun onEvent(nowMs: Double) {
        if (firstEventMs.isNaN()) {
            firstEventMs = nowMs - arrivedMs
        } else {
            longestPauseMs =
                maxOf(longestPauseMs, nowMs - lastEventMs)
        }
        lastEventMs = nowMs
        eventsLeft--
    }

    /** Weight of the request among those of its kind; longer prompts weigh more. */
    val weight: Double get() = minOf(FIXED_WEIGHT + (1 - FIXED_WEIGHT) * promptTokens / kind.promptTokens, MOST_WEIGHT)

    // Callers leave a stream that is silent for too long; the model goes on with it, as an engine does for a while.
    private val isLeft: Boolean
        get() = maxOf(firstEventMs, longestPauseMs) >
            maxOf(LEAST_PATIENCE_MS, kind.targetMs * PATIENCE_TARGETS, kind.pauseTargetMs * PATIENCE_PAUSES)

    /** Credit: the worth of an answer in time, less of a late one, nothing of one that never ended. */
    val earned: Double
        get() = when {
            eventsLeft > 0 || isLeft -> 0.0
            firstEventMs <= kind.targetMs && longestPauseMs <= kind.pauseTargetMs -> kind.worth * weight
            else -> kind.lateWorth * weight
        }

    private companion object {
        const val FIXED_WEIGHT = 0.3
        const val LEAST_PATIENCE_MS = 2_000.0
        const val PATIENCE_TARGETS = 4.0
        const val PATIENCE_PAUSES = 8.0
        const val MOST_WEIGHT = 4.0
    }
}

/**
 * A model of one engine of the platform: work is done in passes; a pass with writers makes several steps, and each step may read a chunk
 * of waiting prompts before the writers get their event at the pass's end. Memory and preemption are left out.
 *
 * @param at runs an action at a model time.
 */
class PassEngine(
    private val speed: PassSpeed,
    private val at: (timeMs: Double, action: (nowMs: Double) -> Unit) -> Unit,
    private val onRead: (ModelRequest) -> Unit,
    private val onEnd: (ModelRequest) -> Unit,
) {
    private class Part(val request: ModelRequest, val isHelp: Boolean, var tokensLeft: Double, val msPerToken: Double)

    private val waiting = ArrayDeque<ModelRequest>()
    private val running = ArrayList<ModelRequest>()
    private val writers = ArrayList<ModelRequest>()
    private val parts = ArrayList<Part>()
    private var isBusy = false

    /** Time spent in passes. */
    var busyMs = 0.0
        private set

    /** Takes [request], of which this engine reads one of [partCount] parts. */
    fun accept(request: ModelRequest, partCount: Int, nowMs: Double) {
        waiting += request
        if (partCount > 0) addPart(request, partCount, isHelp = false)
        wake(nowMs)
    }

    /** Takes one of [partCount] parts of [request], which another engine runs. */
    fun help(request: ModelRequest, partCount: Int, nowMs: Double) {
        addPart(request, partCount, isHelp = true)
        wake(nowMs)
    }

    private fun addPart(request: ModelRequest, partCount: Int, isHelp: Boolean) {
        val tokens = request.promptTokens.toDouble() / partCount
        parts += Part(request, isHelp, tokens, speed.profile.prefillMs(request.promptTokens) / request.promptTokens)
        parts.sortBy { !it.isHelp }
    }

    private fun wake(nowMs: Double) {
        if (isBusy) return
        isBusy = true
        pass(nowMs)
    }

    private fun pass(nowMs: Double) {
        while (running.size < speed.profile.slots && waiting.isNotEmpty()) running += waiting.removeFirst()
        val readable = parts.filter { it.isHelp || it.request in running }
        if (readable.isEmpty() && writers.isEmpty()) {
            isBusy = false
            return
        }
        val steps = if (writers.isEmpty()) 1 else speed.stride
        val contextKiloTokens = writers.sumOf { it.promptTokens } / TOKENS_PER_KILO_TOKEN
        val stepMs = speed.stepMs + speed.stepMsPerWriter * writers.size + speed.stepMsPerKiloToken * contextKiloTokens
        val read = read(readable, steps.toDouble() * speed.chunkTokens)
        val passMs = steps * stepMs + read.first
        busyMs += passMs
        at(nowMs + passMs) { endMs -> ended(read.second, endMs) }
    }

    // The time of reading within the budget of tokens, and the parts that are done then.
    private fun read(readable: List<Part>, budgetTokens: Double): Pair<Double, List<Part>> {
        var left = budgetTokens
        var ms = 0.0
        val done = ArrayList<Part>()
        for (part in readable) {
            val tokens = minOf(left, part.tokensLeft)
            if (tokens <= 0) break
            part.tokensLeft -= tokens
            left -= tokens
            ms += tokens * part.msPerToken
            if (part.tokensLeft < 1) done += part
        }
        return ms to done
    }

    private fun ended(done: List<Part>, nowMs: Double) {
        writers.toList().forEach { event(it, nowMs) }
        parts.removeAll(done)
        done.forEach { part -> onPartRead(part.request, nowMs) }
        pass(nowMs)
    }

    private fun onPartRead(request: ModelRequest, nowMs: Double) {
        if (--request.partsLeft > 0) return
        onRead(request)
        request.resident.startWriting(request, nowMs)
    }

    private fun startWriting(request: ModelRequest, nowMs: Double) {
        writers += request
        event(request, nowMs)
        wake(nowMs)
    }

    private fun event(request: ModelRequest, nowMs: Double) {
        request.onEvent(nowMs)
        if (request.eventsLeft > 0) return
        writers -= request
        running -= request
        onEnd(request)
    }

    private companion object {
        const val TOKENS_PER_KILO_TOKEN = 1_000.0
    }
}
