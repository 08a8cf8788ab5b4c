package org.godwitwick.core.forward

import org.godwitwick.core.error.ErrorKind
import org.godwitwick.core.error.Executed
import org.godwitwick.core.error.Failure

/** Next step after an attempt has ended. */
sealed interface NextStep {
    /** The upstream's answer is passed on to the caller. */
    data object Deliver : NextStep

    /** The request is sent to another upstream. */
    data object TryAnother : NextStep

    /** The request fails with [failure]. */
    data class GiveUp(val failure: Failure) : NextStep
}

/**
 * Numbers of the attempts of one request so far, by result.
 *
 * @property mayHaveRun attempts in which the request ran or may have run.
 * @property refused attempts that the upstream refused.
 * @property notSent attempts in which the connection could not be established.
 */
data class SendCounts(val mayHaveRun: Int = 0, val refused: Int = 0, val notSent: Int = 0) {
    /** Returns these counts plus an attempt that ended with [end]. */
    operator fun plus(end: AttemptEnd): SendCounts = when (end) {
        is AttemptEnd.Answered, is AttemptEnd.Broken -> copy(mayHaveRun = mayHaveRun + 1)
        is AttemptEnd.Refused -> copy(refused = refused + 1)
        is AttemptEnd.NotSent -> copy(notSent = notSent + 1)
    }
}

/**
 * Decides the next step after an attempt that ended with [end], such as a crash, a refusal or a failure of the upstream. A
 * request is retried only if it cannot have run, or if its route allows it to run more than once.
 *
 * @param counts all attempts of the request, including the one that has just ended.
 * @param hasTimeLeft whether the time limit of the request allows another attempt.
 * @param takeRetry takes one retry from the retry budget and returns whether there was one; called only if the retry is otherwise
 *   allowed.
 */
fun nextStep(
    route: ForwardRoute,
    end: AttemptEnd,
    counts: SendCounts,
    hasTimeLeft: Boolean,
    takeRetry: () -> Boolean,
): NextStep {
    if (end is AttemptEnd.Answered && !isRetryable(route, end)) return NextStep.Deliver
    val isAllowed = hasTimeLeft && isWithinLimits(route, counts) && mayRunAgain(route, end)
    // A request that was not written puts no load on the upstreams, so another attempt does not count against the retry budget.
    if (isAllowed && (end is AttemptEnd.NotSent || takeRetry())) return NextStep.TryAnother
    return if (end is AttemptEnd.Answered) NextStep.Deliver else NextStep.GiveUp(failureOf(end, counts))
}

/** The failure that is reported to the caller for [end]; reported as not run only if no upstream can have run the request. */
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

/** Returns [failure], changed to [Executed.UNKNOWN] if it says "not run" although the request may have run according to [counts]. */
fun adjustedForSends(failure: Failure, counts: SendCounts): Failure {
    if (failure.ran != Executed.NO || counts.mayHaveRun == 0) return failure
    return Failure(ErrorKind.UPSTREAM_FAILED, failure.message, Executed.UNKNOWN, retryAfterMs = null)
}

private fun isRetryable(route: ForwardRoute, end: AttemptEnd.Answered): Boolean =
    route.kind.isIdempotent && end.status in FAILED_STATUSES

private fun isWithinLimits(route: ForwardRoute, counts: SendCounts): Boolean =
    counts.mayHaveRun < route.maxRuns && counts.refused < MAX_REFUSALS && counts.notSent < MAX_NOT_SENT

private fun mayRunAgain(route: ForwardRoute, end: AttemptEnd): Boolean = when (end) {
    is AttemptEnd.Refused, is AttemptEnd.NotSent -> true
    is AttemptEnd.Answered, is AttemptEnd.Broken -> route.kind.isIdempotent
}

/** Statuses that report a failure of the upstream; another upstream may succeed. */
private val FAILED_STATUSES = setOf(500, 502)

/** Number of refusals after which a request fails; more attempts would add load to full upstreams. */
private const val MAX_REFUSALS = 3

/** Number of failed connections after which a request fails; each takes up to the connect timeout. */
private const val MAX_NOT_SENT = 4

/** Wait advised to the caller if the upstream advised none, in milliseconds: about the time in which a slot becomes free. */
private const val REFUSED_RETRY_AFTER_MS = 300L
