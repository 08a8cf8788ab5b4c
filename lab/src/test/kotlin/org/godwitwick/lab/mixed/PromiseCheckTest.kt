package org.godwitwick.lab.mixed

import org.godwitwick.standins.platform.CallerAnswer
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

/** Guards against runs of a mixed fleet in which a broken promise is not noticed, or a kept one is reported. */
class PromiseCheckTest {
    private val seen = Observations()

    private fun breaches(): List<Promise> =
        PromiseCheck(seen, mapOf("key-0" to "caterer", "key-1" to "kiosk"), PromiseBounds(5_000, 2_000, retryReserve = 20))
            .breaches().map { it.promise }

    private fun ran(id: String, upstream: String = "desk-1", atMs: Long = 10, handling: Handling = Handling.SERVED) {
        seen.arrivals += Arrival(id, upstream, atMs, handling, "caterer", hasKey = false)
    }

    private fun sent(
        id: String,
        kind: RequestKind = RequestKind.CHARGE,
        status: Int = 200,
        atMs: Long = 0,
        key: String = "key-0",
        isWhole: Boolean = true,
        expected: ExpectedAnswer = ExpectedAnswer.of(kind, id, "desk-1"),
    ) {
        val answer = CallerAnswer(status, isWhole, expected.signature, expected.body)
        seen.attempts += CallerAttempt(id, kind, key, "entry-1", atMs, atMs + 20, answer)
    }

    @Test
    fun `requests that were served once, refused, or failed break no promise`() {
        ran("a")
        sent("a")
        sent("b", status = 503)
        ran("c", handling = Handling.REFUSED)
        sent("c", status = 503)
        ran("d", handling = Handling.FAILED)
        sent("d", status = 502)
        ran("e", handling = Handling.FAILED)
        ran("e", "desk-2")
        sent("e", RequestKind.STATUS, expected = ExpectedAnswer.of(RequestKind.STATUS, "e", "desk-2"))
        expectThat(breaches()).isEqualTo(emptyList())
    }

    @Test
    fun `a charge that runs twice is noticed`() {
        repeat(2) { ran("a") }
        sent("a")
        expectThat(breaches()).isEqualTo(listOf(Promise.RUNS))
    }

    @Test
    fun `a success that is not one whole answer to the request is noticed`() {
        val whole = ExpectedAnswer.of(RequestKind.CHARGE, "a", "desk-1")
        listOf(
            whole.copy(body = whole.body.dropLast(1)),
            whole.copy(body = whole.body + "x"),
            whole.copy(signature = "a.desk-2"),
            ExpectedAnswer.of(RequestKind.CHARGE, "b", "desk-1"),
        ).forEach { wrong ->
            seen.attempts.clear()
            seen.arrivals.clear()
            ran("a")
            sent("a", expected = wrong)
            expectThat(breaches()).isEqualTo(listOf(Promise.ONE_ANSWER))
        }
        seen.arrivals.clear()
        seen.attempts.clear()
        sent("a")
        expectThat(breaches()).isEqualTo(listOf(Promise.ONE_ANSWER))
    }

    @Test
    fun `a refusal of a charge that has run, or runs later, is noticed`() {
        ran("a", handling = Handling.FAILED)
        sent("a", status = 503)
        ran("b", atMs = 9_000)
        sent("b", status = 429)
        expectThat(breaches()).isEqualTo(listOf(Promise.NOT_RUN, Promise.NOT_RUN))
    }

    @Test
    fun `an answer of an upstream that does not reach the caller is noticed`() {
        ran("a")
        sent("a", status = 0, isWhole = false)
        ran("b", handling = Handling.FAILED)
        sent("b", status = 200, isWhole = false)
        expectThat(breaches()).isEqualTo(listOf(Promise.LOST))
    }

    @Test
    fun `a request that runs with a key revoked for longer than the bound is noticed`() {
        seen.events += FleetEvent.KeyRevoked(1_000, "key-1")
        listOf("a" to 5_900L, "b" to 6_100L).forEach { (id, atMs) ->
            seen.arrivals += Arrival(id, "desk-1", atMs + 5, Handling.SERVED, "kiosk", hasKey = false)
            sent(id, atMs = atMs, key = "key-1")
        }
        sent("c", status = 401, atMs = 6_200, key = "key-1")
        expectThat(breaches()).isEqualTo(listOf(Promise.REVOKED))
    }

    @Test
    fun `a request that reaches an upstream after the bound of its leaving is noticed`() {
        seen.events += FleetEvent.UpstreamLeaves(1_000, "desk-1")
        ran("a", atMs = 2_900)
        sent("a")
        ran("b", atMs = 3_100)
        sent("b")
        expectThat(breaches()).isEqualTo(listOf(Promise.LEAVING))
    }

    @Test
    fun `another organisation, a key that is passed on and a request of no caller are noticed`() {
        seen.arrivals += Arrival("a", "desk-1", 10, Handling.SERVED, "kiosk", hasKey = false)
        sent("a")
        seen.arrivals += Arrival("b", "desk-1", 10, Handling.SERVED, "caterer", hasKey = true)
        sent("b")
        ran("c")
        expectThat(breaches()).isEqualTo(List(3) { Promise.ORGANISATION })
    }

    @Test
    fun `more requests than a stated limit allows are noticed, of instances that have passed it on`() {
        seen.events += FleetEvent.Ready(0, "entry-1", "current")
        seen.events += FleetEvent.LimitStated(0, "desk-1", perSecond = 2.0)
        (1..18).forEach { number ->
            ran("a$number", atMs = 4_000L + number)
            sent("a$number", atMs = 4_000)
        }
        expectThat(breaches()).isEqualTo(emptyList())
        ran("b", atMs = 3_000)
        sent("b", atMs = 3_000)
        expectThat(breaches()).isEqualTo(listOf(Promise.LIMIT))
        seen.events += FleetEvent.Stopping(3_600, "entry-1")
        seen.events += FleetEvent.Ready(3_900, "entry-1", "current")
        expectThat(breaches()).isEqualTo(emptyList())
    }

    @Test
    fun `a request that goes on crashing upstreams is noticed`() {
        (0..5).forEach { number ->
            ran("a$number", "desk-$number", atMs = number * 4_000L, handling = Handling.CRASHED)
            sent("a$number", status = 502)
        }
        expectThat(breaches()).isEqualTo(emptyList())
        ran("b", "desk-9", atMs = 30_000, handling = Handling.CRASHED)
        sent("b", status = 502)
        expectThat(breaches()).isEqualTo(listOf(Promise.CRASHING))
    }

    @Test
    fun `crashes of an instance that has just started are not counted`() {
        (0..7).forEach { number ->
            ran("a$number", "desk-$number", atMs = number * 4_000L, handling = Handling.CRASHED)
            sent("a$number", status = 502)
        }
        expectThat(breaches()).isEqualTo(listOf(Promise.CRASHING))
        seen.events += FleetEvent.Stopping(10_000, "entry-1")
        seen.events += FleetEvent.Ready(14_000, "entry-1", "current")
        expectThat(breaches()).isEqualTo(emptyList())
    }

    @Test
    fun `more repeats than the budget of the service allows are noticed`() {
        (1..100).forEach { sent("a$it", status = 503, atMs = 1_000) }
        (1..40).forEach { number -> repeat(2) { ran("a$number", atMs = 1_000L + number, handling = Handling.REFUSED) } }
        expectThat(breaches()).isEqualTo(emptyList())
        repeat(2) { ran("a41", atMs = 1_041, handling = Handling.REFUSED) }
        expectThat(breaches()).isEqualTo(listOf(Promise.RETRIES))
    }

    @Test
    fun `proper requests that are denied are noticed`() {
        (1..5).forEach { sent("a$it", status = 401) }
        expectThat(breaches()).isEqualTo(emptyList())
        sent("b", status = 404)
        expectThat(breaches()).isEqualTo(listOf(Promise.DENIED))
    }
}
