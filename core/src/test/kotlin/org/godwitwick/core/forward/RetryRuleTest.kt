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

    // Guards against a charge that is made twice.
    @Test
    fun `a request that may run once is not repeated after it may have run`() {
        val step = step(RouteKind.Unsafe, broken, ran)
        expectThat(step).isA<NextStep.GiveUp>().get { failure.ran }.isEqualTo(Executed.UNKNOWN)
        expectThat(step).isA<NextStep.GiveUp>().get { failure.kind.httpStatus }.isEqualTo(502)
    }

    @Test
    fun `a request that may run once is repeated after a refusal and after a failed connection`() {
        expectThat(step(RouteKind.Unsafe, refused, SendCounts(refused = 1))).isEqualTo(NextStep.TryAnother)
        expectThat(step(RouteKind.Unsafe, AttemptEnd.NotSent("refused"), SendCounts(notSent = 1))).isEqualTo(NextStep.TryAnother)
    }

    @Test
    fun `an idempotent request is repeated up to the number of runs of its route`() {
        expectThat(step(RouteKind.Safe, broken, ran)).isEqualTo(NextStep.TryAnother)
        expectThat(step(RouteKind.Safe, broken, SendCounts(mayHaveRun = 2))).isA<NextStep.GiveUp>()
    }

    @Test
    fun `a failure of an upstream is repeated where that is harmless and delivered otherwise`() {
        expectThat(step(RouteKind.Safe, AttemptEnd.Answered(500), ran)).isEqualTo(NextStep.TryAnother)
        expectThat(step(RouteKind.Unsafe, AttemptEnd.Answered(500), ran)).isEqualTo(NextStep.Deliver)
        expectThat(step(RouteKind.Safe, AttemptEnd.Answered(500), SendCounts(mayHaveRun = 2))).isEqualTo(NextStep.Deliver)
    }

    @Test
    fun `an answer of success and the upstream's own timeout are delivered`() {
        expectThat(step(RouteKind.Safe, AttemptEnd.Answered(200), ran)).isEqualTo(NextStep.Deliver)
        expectThat(step(RouteKind.Safe, AttemptEnd.Answered(504), ran)).isEqualTo(NextStep.Deliver)
    }

    // Guards against repeats that multiply an overload.
    @Test
    fun `without budget a refused request is given up as not run`() {
        val step = step(RouteKind.Safe, refused, SendCounts(refused = 1), hasBudget = false)
        expectThat(step).isA<NextStep.GiveUp>().get { failure.kind }.isEqualTo(ErrorKind.OVERLOADED)
        expectThat(step).isA<NextStep.GiveUp>().get { failure.ran }.isEqualTo(Executed.NO)
    }

    // Guards against a refusal that is passed on as "not run" although an earlier send may have run.
    @Test
    fun `a refusal after a broken send is not reported as not run`() {
        val step = step(RouteKind.Safe, refused, SendCounts(mayHaveRun = 1, refused = 1), hasTimeLeft = false)
        expectThat(step).isA<NextStep.GiveUp>().get { failure.ran }.isEqualTo(Executed.UNKNOWN)
        expectThat(step).isA<NextStep.GiveUp>().get { failure.kind.httpStatus }.isEqualTo(502)
    }

    // Guards against a key that is withdrawn between two sends and turns a request that may have run into one that did not.
    @Test
    fun `a failure that means not run is told as unknown once the request may have run`() {
        val failure = Failure(ErrorKind.CONFIG_UNCONFIRMED, "old")
        expectThat(afterSends(failure, SendCounts(refused = 1))).isEqualTo(failure)
        expectThat(afterSends(failure, ran)) {
            get { kind }.isEqualTo(ErrorKind.UPSTREAM_FAILED)
            get { this.ran }.isEqualTo(Executed.UNKNOWN)
            get { retryAfterMs }.isEqualTo(null)
        }
    }

    @Test
    fun `the budget is not asked when a repeat is not allowed anyway`() {
        var isAsked = false
        nextStep(route(RouteKind.Unsafe), broken, ran, hasTimeLeft = true) {
            isAsked = true
            true
        }
        expectThat(isAsked).isFalse()
    }
}
