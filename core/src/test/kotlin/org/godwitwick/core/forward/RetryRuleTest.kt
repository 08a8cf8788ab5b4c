package org.godwitwick.core.forward

import org.godwitwick.core.error.ErrorKind
import org.godwitwick.core.error.Executed
import org.godwitwick.core.error.Failure
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse

class RetryRuleTest {
    private val broken = AttemptEnd.Broken("reset")
    private val refused = AttemptEnd.Refused(503, null)
    private val ran = SendCounts(mayHaveRun = 1)

    private fun step(
        kind: RouteKind,
        end: AttemptEnd,
        counts: SendCounts,
        hasTimeLeft: Boolean = true,
        hasBudget: Boolean = true,
    ) = nextStep(route(kind), end, counts, hasTimeLeft) { hasBudget }

    // Guards against running a request twice, for example a payment.
    @Test
    fun `an unsafe request is not retried after it may have run`() {
        val step = step(RouteKind.Unsafe, broken, ran)
        expectThat(step).isA<NextStep.GiveUp>().get { failure.ran }.isEqualTo(Executed.UNKNOWN)
        expectThat(step).isA<NextStep.GiveUp>().get { failure.kind.httpStatus }.isEqualTo(502)
    }

    @Test
    fun `an unsafe request is retried after a refusal and after a failed connection`() {
        expectThat(step(RouteKind.Unsafe, refused, SendCounts(refused = 1))).isEqualTo(NextStep.TryAnother)
        expectThat(step(RouteKind.Unsafe, AttemptEnd.NotSent("refused"), SendCounts(notSent = 1))).isEqualTo(NextStep.TryAnother)
    }

    @Test
    fun `an idempotent request is retried up to the maximum number of runs of its route`() {
        expectThat(step(RouteKind.Safe, broken, ran)).isEqualTo(NextStep.TryAnother)
        expectThat(step(RouteKind.Safe, broken, SendCounts(mayHaveRun = 2))).isA<NextStep.GiveUp>()
    }

    @Test
    fun `a failure answer is retried if the request is idempotent and has runs left, and delivered otherwise`() {
        expectThat(step(RouteKind.Safe, AttemptEnd.Answered(500), ran)).isEqualTo(NextStep.TryAnother)
        expectThat(step(RouteKind.Unsafe, AttemptEnd.Answered(500), ran)).isEqualTo(NextStep.Deliver)
        expectThat(step(RouteKind.Safe, AttemptEnd.Answered(500), SendCounts(mayHaveRun = 2))).isEqualTo(NextStep.Deliver)
    }

    @Test
    fun `a success and a timeout reported by the upstream are delivered`() {
        expectThat(step(RouteKind.Safe, AttemptEnd.Answered(200), ran)).isEqualTo(NextStep.Deliver)
        expectThat(step(RouteKind.Safe, AttemptEnd.Answered(504), ran)).isEqualTo(NextStep.Deliver)
    }

    // Guards against retries that amplify an overload.
    @Test
    fun `a refused request fails as not run if the retry budget is used up`() {
        val step = step(RouteKind.Safe, refused, SendCounts(refused = 1), hasBudget = false)
        expectThat(step).isA<NextStep.GiveUp>().get { failure.kind }.isEqualTo(ErrorKind.OVERLOADED)
        expectThat(step).isA<NextStep.GiveUp>().get { failure.ran }.isEqualTo(Executed.NO)
    }

    // Guards against a refusal that is reported as "not run" although an earlier attempt may have run.
    @Test
    fun `a refusal after a broken attempt is not reported as not run`() {
        val step = step(RouteKind.Safe, refused, SendCounts(mayHaveRun = 1, refused = 1), hasTimeLeft = false)
        expectThat(step).isA<NextStep.GiveUp>().get { failure.ran }.isEqualTo(Executed.UNKNOWN)
        expectThat(step).isA<NextStep.GiveUp>().get { failure.kind.httpStatus }.isEqualTo(502)
    }

    // Guards against reporting "not run" for a request that may have run, because its key was revoked between two attempts.
    @Test
    fun `a not run failure is reported as unknown once the request may have run`() {
        val failure = Failure(ErrorKind.CONFIG_UNCONFIRMED, "old")
        expectThat(adjustedForSends(failure, SendCounts(refused = 1))).isEqualTo(failure)
        expectThat(adjustedForSends(failure, ran)) {
            get { kind }.isEqualTo(ErrorKind.UPSTREAM_FAILED)
            get { this.ran }.isEqualTo(Executed.UNKNOWN)
            get { retryAfterMs }.isEqualTo(null)
        }
    }

    @Test
    fun `the retry budget is not used if a retry is not allowed anyway`() {
        var isBudgetUsed = false
        nextStep(route(RouteKind.Unsafe), broken, ran, hasTimeLeft = true) {
            isBudgetUsed = true
            true
        }
        expectThat(isBudgetUsed).isFalse()
    }
}
