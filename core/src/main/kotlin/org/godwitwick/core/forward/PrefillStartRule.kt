package org.godwitwick.core.forward

/**
 * Decides when the prefill of a long prompt begins.
 *
 * Designed for bursts of long prompts. Engines prefill in the order of arrival, so if all prompts were sent at once, each would
 * wait for all earlier ones, and during a burst all answers would be late. A prompt that waits at its instance instead can be
 * overtaken by a shorter one. The shorter its own prefill is compared with its target, the more backlog of the engines it
 * accepts. A prompt that can no longer meet its target begins only when the engines are almost idle, or rather than not at all
 * when its caller is about to leave.
 */
class PrefillStartRule(private val settings: PrefillStartSettings = PrefillStartSettings()) {
    /** Decides at [nowMs] about a prompt whose prefill on the chosen engines would go as in [forecast]. */
    fun decide(wait: CallerWait, forecast: PrefillForecast, nowMs: Long): PrefillStart {
        val firstEventMs = nowMs + forecast.backlogMs + forecast.partMs
        if (firstEventMs > wait.leavesAtMs) return PrefillStart.Reject(forecast.backlogMs.toLong())
        val isOnTime = firstEventMs <= wait.sinceMs + wait.targetMs
        val mayBegin = if (isOnTime) {
            forecast.partMs + settings.backlogWeight * forecast.backlogMs <= wait.targetMs
        } else {
            forecast.backlogMs <= settings.idleBacklogMs || firstEventMs > wait.leavesAtMs - settings.lastCallMs
        }
        return if (mayBegin) PrefillStart.Begin else PrefillStart.Wait
    }
}

/** Decision of [PrefillStartRule]. */
sealed interface PrefillStart {
    /** The prefill begins now. */
    data object Begin : PrefillStart

    /** The request waits at its instance and is decided upon again. */
    data object Wait : PrefillStart

    /** The request cannot be answered before its caller leaves; the engines may take it after [retryAfterMs]. */
    data class Reject(val retryAfterMs: Long) : PrefillStart
}

/**
 * The wait of a caller for its next event, in monotonic time.
 *
 * @property sinceMs when the wait began: the arrival of the request, or the last event of a stream that is continued.
 * @property targetMs operator's target for the duration of this wait.
 * @property leavesAtMs when the caller leaves, or the deadline of the request if that is earlier.
 */
data class CallerWait(val sinceMs: Long, val targetMs: Long, val leavesAtMs: Long)

/**
 * Expected course of a prefill that begins now, in milliseconds.
 *
 * @property partMs prefill time of the part of each engine.
 * @property backlogMs longest prefill pending at one of the engines.
 */
data class PrefillForecast(val partMs: Double, val backlogMs: Double)

/**
 * Settings of [PrefillStartRule].
 *
 * @property backlogWeight how much more a millisecond of backlog counts against the target than one of the prompt's own prefill.
 *   With a higher weight, prompts that arrive later find the engines free more often.
 * @property idleBacklogMs backlog up to which engines count as idle.
 * @property lastCallMs time before the caller leaves at which a late prompt begins in any case.
 */
data class PrefillStartSettings(val backlogWeight: Double = 6.0, val idleBacklogMs: Double = 100.0, val lastCallMs: Long = 1_500)

/**
 * Time after which callers of [route] abandon a stream that sends no event, in milliseconds: four times the target for the first
 * event or eight times the target pause, and at least 2 s.
 */
fun callerPatienceMs(route: ForwardRoute): Long =
    maxOf(MIN_PATIENCE_MS, route.targetMs * PATIENCE_PER_TARGET, route.gapTargetMs * PATIENCE_PER_GAP_TARGET)

private const val MIN_PATIENCE_MS = 2_000L
private const val PATIENCE_PER_TARGET = 4L
private const val PATIENCE_PER_GAP_TARGET = 8L
