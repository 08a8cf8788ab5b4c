package org.godwitwick.node.metrics

import org.godwitwick.core.error.ErrorKind
import org.godwitwick.core.model.Deadline
import org.godwitwick.core.model.GenerateRequest
import org.godwitwick.core.model.OrganisationId
import org.godwitwick.core.model.PromptClass
import org.godwitwick.core.model.RequestId
import org.godwitwick.node.upstream.TokenEvent
import org.godwitwick.node.upstream.TokenStream
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse

class RequestMeterTest {
    private val metrics = NodeMetrics()

    /** Guards against a time to first token that is measured from dispatch and therefore hides the time in queues. */
    @Test
    fun `the time to first token is measured from arrival`() {
        var now = 900 * MS
        val tokens = RequestMeter(metrics, arrivedNanos = 100 * MS) {
            now
        }.measure(threeTokens { now += 40 * MS }, request("caterer"))
        repeat(4) { tokens.next() }
        val text = metrics.render()
        expectThat(text).contains("""godwitwick_time_to_first_token_seconds_sum{class="long",model="menu"} 0.84""")
        expectThat(text).contains("""godwitwick_token_gap_seconds_count{class="long",model="menu"} 2""")
        expectThat(text).contains("""godwitwick_token_gap_seconds_bucket{class="long",model="menu",le="0.045"} 2""")
        expectThat(text).contains("""godwitwick_token_gap_seconds_bucket{class="long",model="menu",le="0.035"} 0""")
        expectThat(text).contains("""godwitwick_organisation_time_to_first_token_seconds_count{organisation="caterer"} 1""")
    }

    /** Guards against a number of series that grows with the number of organisations. */
    @Test
    fun `the 51st organisation is counted as other`() {
        (1..51).forEach { number ->
            RequestMeter(metrics, 0) { 0 }.measure(threeTokens { }, request("organisation-$number")).next()
        }
        val text = metrics.render()
        val series = text.lines().count { it.startsWith("godwitwick_organisation_time_to_first_token_seconds_count") }
        expectThat(series).isEqualTo(51)
        expectThat(text).contains("""godwitwick_organisation_time_to_first_token_seconds_count{organisation="other"} 1""")
    }

    /** Guards against an in-flight gauge that drifts because an end is counted twice. */
    @Test
    fun `the end of a request is counted once`() {
        val meter = RequestMeter(metrics, 0) { 0 }
        meter.end(ErrorKind.CANCELLED)
        expectThat(meter.end(null)).isFalse()
        expectThat(metrics.render()).contains("godwitwick_requests_in_flight 0.0")
            .contains("""godwitwick_requests_total{result="cancelled"} 1.0""")
            .contains("""godwitwick_requests_total{result="ok"} 0.0""")
    }

    private fun threeTokens(beforeEach: () -> Unit) = object : TokenStream {
        private var index = 0

        override fun next(): TokenEvent {
            beforeEach()
            return if (index < 3) TokenEvent.Token(index, "t${index++}") else TokenEvent.Done(index)
        }

        override fun close() = Unit
    }

    private fun request(organisation: String) =
        GenerateRequest(RequestId("r"), OrganisationId(organisation), "menu", "note", 3, PromptClass.LONG, Deadline(0))

    private companion object {
        const val MS = 1_000_000L
    }
}
