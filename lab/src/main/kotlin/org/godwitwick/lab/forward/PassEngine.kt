package org.godwitwick.lab.forward

import org.godwitwick.core.forward.EngineProfile

/**
 * Speed of an engine as the platform publishes it. Times are in milliseconds.
 *
 * @property stepMs base time of one token step.
 * @property stepMsPerDecodingRequest additional time of a step for each decoding request.
 * @property stepMsPerKiloToken additional time of a step for every 1,000 prompt tokens of the decoding requests.
 * @property chunkTokens maximum prompt tokens prefilled in one step.
 * @property stepsPerPass steps of a pass while requests are decoding, which is also the number of tokens in an event.
 */
data class PassSpeed(
    val profile: EngineProfile,
    val stepMs: Double,
    val stepMsPerDecodingRequest: Double,
    val stepMsPerKiloToken: Double,
    val chunkTokens: Int,
    val stepsPerPass: Int,
)

/** One request on the modelled engines. Times are in model milliseconds. */
class ModelRequest(arrival: MixArrival) {
    val kind: MixKind = arrival.kind
    val promptTokens: Long = arrival.promptTokens
    val arrivedMs: Double = arrival.atMs
    internal var remainingEvents = arrival.events
    internal var lastEventMs = Double.NaN

    /** Number of times the request was sent to engines. */
    var attempts = 0
        internal set

    /** Whether the caller has left, or the request was rejected. */
    var isEnded = false
        internal set

    /** How long the caller waits for the first event, or for the next one, before it leaves. */
    val patienceMs: Double
        get() = maxOf(MIN_TIMEOUT_MS, kind.targetMs * TIMEOUT_PER_TARGET, kind.pauseTargetMs * TIMEOUT_PER_PAUSE_TARGET)

    /** Time from the arrival to the first event, or NaN until then. */
    var firstEventMs = Double.NaN
        private set

    /** Longest time between two events. */
    var longestPauseMs = 0.0
        private set

    internal fun onEvent(nowMs: Double) {
        if (firstEventMs.isNaN()) {
            firstEventMs = nowMs - arrivedMs
        } else {
            longestPauseMs = maxOf(longestPauseMs, nowMs - lastEventMs)
        }
        lastEventMs = nowMs
        remainingEvents--
    }

    /** Whether the answer ended and met both targets. */
    val isOnTime: Boolean
        get() = remainingEvents <= 0 && firstEventMs <= kind.targetMs && longestPauseMs <= kind.pauseTargetMs

    /** Weight of the request among those of its kind; longer prompts have a higher weight. */
    val weight: Double get() = minOf(BASE_WEIGHT + (1 - BASE_WEIGHT) * promptTokens / kind.promptTokens, MAX_WEIGHT)

    /** Credit of the answer, on time or late, times [weight]; 0 if it did not end. */
    val earnedCredit: Double
        get() = when {
            remainingEvents > 0 -> 0.0
            isOnTime -> kind.onTimeCredit * weight
            else -> kind.lateCredit * weight
        }

    private companion object {
        const val BASE_WEIGHT = 0.3
        const val MIN_TIMEOUT_MS = 2_000.0
        const val TIMEOUT_PER_TARGET = 4.0
        const val TIMEOUT_PER_PAUSE_TARGET = 8.0
        const val MAX_WEIGHT = 4.0
    }
}

/** One send of [request] to engines: one of them decodes, and all of them prefill one part each. */
internal class ModelAttempt(
    val request: ModelRequest,
    val decodingEngine: PassEngine,
    val engines: List<PassEngine>,
    val urgency: Int,
) {
    var remainingParts = engines.size
    var isCancelled = false

    /** Ends this attempt on all engines; the engines drop its work. */
    fun cancel() {
        isCancelled = true
        engines.forEach { it.drop(this) }
    }
}

/**
 * A model of one engine of the platform, which works in passes. A pass with decoding requests has [PassSpeed.stepsPerPass] steps,
 * each of which may prefill a chunk of the prompts. The decoding requests get their event at the end of the pass. The KV cache
 * and preemption are not modelled.
 *
 * @param schedule runs an action at a model time.
 * @param onPrefillDone called when the whole prompt of a request has been prefilled.
 * @param onEnd called after the last event of a request.
 */
class PassEngine(
    private val speed: PassSpeed,
    private val schedule: (timeMs: Double, action: (nowMs: Double) -> Unit) -> Unit,
    private val onPrefillDone: (ModelRequest) -> Unit,
    private val onEnd: (ModelRequest) -> Unit,
) {
    private class Part(val attempt: ModelAttempt, val isHelper: Boolean, var tokensLeft: Double, val msPerToken: Double)

    private val queued = ArrayList<ModelAttempt>()
    private val running = ArrayList<ModelAttempt>()
    private val decoding = ArrayList<ModelAttempt>()
    private val parts = ArrayList<Part>()
    private var isBusy = false

    /** Time spent in passes. */
    var busyMs = 0.0
        private set

    /** Prompt tokens prefilled so far. */
    var prefilledTokens = 0.0
        private set

    /** Queues this engine's part of [attempt], and its decoding if this is its decoding engine. */
    internal fun accept(attempt: ModelAttempt, nowMs: Double) {
        val isHelper = attempt.decodingEngine !== this
        val promptTokens = attempt.request.promptTokens
        if (!isHelper) {
            queued += attempt
            queued.sortBy { it.urgency }
        }
        parts += Part(
            attempt,
            isHelper,
            promptTokens.toDouble() / attempt.engines.size,
            speed.profile.prefillMs(promptTokens) / promptTokens,
        )
        parts.sortBy { !it.isHelper }
        startIfIdle(nowMs)
    }

    internal fun drop(attempt: ModelAttempt) {
        queued -= attempt
        running -= attempt
        decoding -= attempt
        parts.removeAll { it.attempt === attempt }
    }

    private fun startIfIdle(nowMs: Double) {
        if (isBusy) return
        isBusy = true
        runPass(nowMs)
    }

    private fun runPass(nowMs: Double) {
        while (running.size < speed.profile.slots && queued.isNotEmpty()) running += queued.removeAt(0)
        val runnable = parts.filter { it.isHelper || it.attempt in running }
        if (runnable.isEmpty() && decoding.isEmpty()) {
            isBusy = false
            return
        }
        val steps = if (decoding.isEmpty()) 1 else speed.stepsPerPass
        val contextKiloTokens = decoding.sumOf { it.request.promptTokens } / TOKENS_PER_KILO_TOKEN
        val stepMs = speed.stepMs + speed.stepMsPerDecodingRequest * decoding.size + speed.stepMsPerKiloToken * contextKiloTokens
        val prefilled = prefill(runnable, steps.toDouble() * speed.chunkTokens)
        val passMs = steps * stepMs + prefilled.first
        busyMs += passMs
        schedule(nowMs + passMs) { endMs -> onPassEnd(prefilled.second, endMs) }
    }

    // Prefills up to [budgetTokens]; returns the time in milliseconds and the parts that are done.
    private fun prefill(runnable: List<Part>, budgetTokens: Double): Pair<Double, List<Part>> {
        var left = budgetTokens
        var ms = 0.0
        val done = ArrayList<Part>()
        for (part in runnable) {
            val tokens = minOf(left, part.tokensLeft)
            if (tokens <= 0) break
            part.tokensLeft -= tokens
            prefilledTokens += tokens
            left -= tokens
            ms += tokens * part.msPerToken
            if (part.tokensLeft < 1) done += part
        }
        return ms to done
    }

    private fun onPassEnd(done: List<Part>, nowMs: Double) {
        decoding.toList().forEach { emitEvent(it, nowMs) }
        parts.removeAll(done)
        done.forEach { part -> onPartPrefilled(part.attempt, nowMs) }
        runPass(nowMs)
    }

    private fun onPartPrefilled(attempt: ModelAttempt, nowMs: Double) {
        if (attempt.isCancelled || --attempt.remainingParts > 0) return
        onPrefillDone(attempt.request)
        attempt.decodingEngine.startDecoding(attempt, nowMs)
    }

    private fun startDecoding(attempt: ModelAttempt, nowMs: Double) {
        decoding += attempt
        emitEvent(attempt, nowMs)
        startIfIdle(nowMs)
    }

    private fun emitEvent(attempt: ModelAttempt, nowMs: Double) {
        val request = attempt.request
        request.onEvent(nowMs)
        if (request.remainingEvents > 0) return
        decoding -= attempt
        running -= attempt
        onEnd(request)
    }

    private companion object {
        const val TOKENS_PER_KILO_TOKEN = 1_000.0
    }
}
