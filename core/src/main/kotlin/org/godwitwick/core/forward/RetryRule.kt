package org.godwitwick.core.forward

import org.godwitwick.core.error.ErrorKind
import org.godwitwick.core.error.Executed
import org.godwitwick.core.error.Failure

/** What follows the end of an attempt. */
sealed interface NextStep {
    /** The upstream's answer is passed on. */
    data object Deliver : NextStep

    /** The request is sent to another upstream. */
    data object TryAnother : NextStep

    /** The caller gets [failure]. */
    data class GiveUp(val failure: Failure) : NextStep
}

/**
 * The sends of one request so far.
 *
 * @property mayHaveRun upstreams on which it ran or may have run.
 * @property refused upstreams that refused it.
 * @property notSent connections that could not be established.
 */
data class SendCounts(val mayHaveRun: Int = 0, val refused: Int = 0, val notSent: Int = 0) {
    /** These counts and an attempt that ended with [end]. */
    operator fun plus(end: AttemptEnd): SendCounts = when (end) {
        is AttemptEnd.Answered, is AttemptEnd.Broken -> copy(mayHaveRun = mayHaveRun + 1)
        is AttemptEnd.Refused -> copy(refused = refused + 1)
        is AttemptEnd.NotSent -> copy(notSent = notSent + 1)
    }
}

/**
 * Decides what follows the end of an attempt. Answers crashes, full upstreams and failing ones: a request is repeated only where that
 * can't run it twice, or where it may run twice.
 *
 * @property counts all sends of the request, the ended one included.
 * @property takeRetry takes one repeat from the retry budget; called only when nothing else stands against a repeat.
 */
fun nextStep(
    route: ForwardRoute,
    end: AttemptEnd,
    counts: SendCounts,
    hasTimeLeft: Boolean,
    takeRetry: () -> Boolean,
): NextStep {
    if (end is AttemptEnd.Answered && !isRepeatable(route, end)) return NextStep.Deliver
    val isAllowed = hasTimeLeft && isWithinLimits(route, counts) && isHarmless(route, end)
    // A request that was not written is no repeat for the upstreams, so it needs no budget.
    if (isAllowed && (end is AttemptEnd.NotSent || takeRetry())) return NextStep.TryAnother
    return if (end is AttemptEnd.Answered) NextStep.Deliver else NextStep.GiveUp(failureOf(end, counts))
}

/** The failure that tells the caller of [end]; "not run" only when no upstream can have run the request. */
fun failureOf(end: AttemptEnd, counts: SendCounts): Failure {
    val ran = if (counts.mayHaveRun > 0) Executed.UNKNOWN else Executed.NO
    val (kind, message, retryAfterMs) = when (end) {
        is AttemptEnd.Refused -> Triple(ErrorKind.OVERLOADED, "the upstream refused with ${end.status}", end.retryAfterMs)
        is AttemptEnd.NotSent -> Triple(ErrorKind.NO_UPSTREAM, end.cause, null)
        is AttemptEnd.Broken -> Triple(ErrorKind.UPSTREAM_FAILED, end.cause, null)
        is AttemptEnd.Answered -> Triple(ErrorKind.UPSTREAM_FAILED, "the upstream answered ${end.status}", null)
    }
    if (ran == Executed.UNKNOWN) return Failure(ErrorKind.UPSTREAM_FAILED, message, ran)
    return Failure(kind, message, ran, retryAfterMs ?: REFUSED_RETRY_AFTER_MS)
}

/** [failure] as the caller of a request with [counts] may be told it: a request that may have run isn't reported as not run. */
fun afterSends(failure: Failure, counts: SendCounts): Failure {
    if (failure.ran != Executed.NO || counts.mayHaveRun == 0) return failure
    return Failure(ErrorKind.UPSTREAM_FAILED, failure.message, Executed.UNKNOWN, retryAfterMs = null)
}

private fun isRepeatable(route: ForwardRoute, end: AttemptEnd.Answered): Boolean =
    route.kind.isIdempotent && end.status in FAILED_STATUSES

private fun isWithinLimits(route: ForwardRoute, counts: SendCounts): Boolean =
    counts.mayHaveRun < route.maxRuns && counts.refused < MAX_REFUSALS && counts.notSent < MAX_NOT_SENT

private fun isHarmless(route: ForwardRoute, end: AttemptEnd): Boolean = when (end) {
    is AttemptEnd.Refused, is AttemptEnd.NotSent -> true
    is AttemptEnd.Answered, is AttemptEnd.Broken -> route.kind.isIdempotent
}

/** Statuses of an upstream that failed, which another upstream may answer. */
private val FAILED_STATUSES = setOf(500, 502)

/** Refusals after which a request is given up; more would load full upstreams further. */
private const val MAX_REFUSALS = 3

/** Failed connections after which a request is given up; each takes up to the connect timeout. */
private const val MAX_NOT_SENT = 4

/** Advised wait after a refusal that states none, in milliseconds: about the time in which a slot becomes free. */
private const val REFUSED_RETRY_AFTER_MS = 300L
