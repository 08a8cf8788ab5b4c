package org.godwitwick.node.metrics

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.CounterWithCallback
import io.prometheus.metrics.core.metrics.Gauge
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import org.godwitwick.core.error.ErrorKind
import org.godwitwick.core.model.GenerateRequest
import org.godwitwick.core.model.PromptClass
import org.godwitwick.node.upstream.UpstreamCounters
import java.io.ByteArrayOutputStream

/** The metrics of one instance. Components that measure something receive this object. */
class NodeMetrics {
    /** Registry of all metrics of this instance. */
    val registry = PrometheusRegistry()
    private val firstToken = histogram(
        "godwitwick_time_to_first_token_seconds",
        "Time from the arrival of a request to its first token.",
        FIRST_TOKEN_BOUNDS,
        "class",
        "model",
    )
    private val tokenGap = histogram(
        "godwitwick_token_gap_seconds",
        "Time between two tokens as they are passed to the caller.",
        TOKEN_GAP_BOUNDS,
        "class",
        "model",
    )
    private val organisationFirstToken = histogram(
        "godwitwick_organisation_time_to_first_token_seconds",
        "Time from the arrival of a request to its first token, for the busiest organisations.",
        FIRST_TOKEN_BOUNDS,
        "organisation",
    )
    private val organisationTokenGap = histogram(
        "godwitwick_organisation_token_gap_seconds",
        "Time between two tokens as they are passed to the caller, for the busiest organisations.",
        TOKEN_GAP_BOUNDS,
        "organisation",
    )
    private val requests = counter("godwitwick_requests_total", "Ended requests by error kind.", "result")
    private val inFlight = Gauge.builder()
        .name("godwitwick_requests_in_flight")
        .help("Requests that have arrived and not ended.")
        .register(registry)
    private val controlDelay = histogram(
        "godwitwick_control_queue_delay_seconds",
        "Time that work waited for the control thread.",
        CONTROL_DELAY_BOUNDS,
    )
    private val models = BusiestLabels(MAX_MODELS) { model ->
        PromptClass.entries.forEach { listOf(firstToken, tokenGap).forEach { metric -> metric.remove(it.label, model) } }
    }
    private val organisations = BusiestLabels(MAX_ORGANISATIONS) { name ->
        organisationFirstToken.remove(name)
        organisationTokenGap.remove(name)
    }

    init {
        // Creates the series with 0 at the start, so that rates include the first event.
        (listOf(RESULT_OK) + ErrorKind.entries.map { it.code }).forEach { requests.initLabelValues(it) }
    }

    /** Counts the arrival of a request. */
    fun requestArrived() = inFlight.inc()

    /** Counts the end of a request, with the error [kind] or, if that is null, with success. */
    fun requestEnded(kind: ErrorKind?) {
        inFlight.dec()
        requests.labelValues(kind?.code ?: RESULT_OK).inc()
    }

    /** Counts [request] in the ranking of organisations. */
    fun requestAdmitted(request: GenerateRequest) = organisations.count(request.organisation.value)

    /**
     * Records the time from the arrival of [request] to its first token. The model is counted here because a first token proves
     * that it is served; callers can send any model name.
     */
    fun firstToken(request: GenerateRequest, delayNanos: Long) {
        models.count(request.model)
        observe(firstToken, organisationFirstToken, request, delayNanos)
    }

    /** Records the time between two tokens of [request]. */
    fun tokenGap(request: GenerateRequest, gapNanos: Long) = observe(tokenGap, organisationTokenGap, request, gapNanos)

    /** Registers a metric that exposes [counters], the counts of events on the way to engines. */
    fun exposeEngineEvents(counters: UpstreamCounters) {
        val byEvent = mapOf(
            "wrong_request_id" to counters.wrongRequestIds,
            "wrong_index" to counters.wrongIndexes,
            "stall" to counters.stalls,
            "retry" to counters.retries,
            "retry_budget_used_up" to counters.budgetRefusals,
            "quarantine" to counters.quarantines,
            "lost_cleanup" to counters.lostCleanups,
        )
        CounterWithCallback.builder()
            .name("godwitwick_engine_events_total")
            .help("Events on the path to the engines.")
            .labelNames("event")
            .callback { collector -> byEvent.forEach { (event, count) -> collector.call(count.sum().toDouble(), event) } }
            .register(registry)
    }

    /** Records how long a task waited for the control thread. */
    fun controlQueueDelay(delayNanos: Long) = controlDelay.observe(delayNanos / NANOS_PER_SECOND)

    /** Renders all metrics in the Prometheus text format. */
    fun render(): String {
        val out = ByteArrayOutputStream()
        PrometheusTextFormatWriter.create().write(out, registry.scrape())
        return out.toString(Charsets.UTF_8)
    }

    private fun observe(byClass: Histogram, byOrganisation: Histogram, request: GenerateRequest, nanos: Long) {
        val seconds = nanos / NANOS_PER_SECOND
        models.withLabel(request.model) { byClass.labelValues(request.promptClass.label, it).observe(seconds) }
        organisations.withLabel(request.organisation.value) { byOrganisation.labelValues(it).observe(seconds) }
    }

    private fun histogram(name: String, help: String, bounds: DoubleArray, vararg labels: String): Histogram = Histogram.builder()
        .name(name)
        .help(help)
        .labelNames(*labels)
        .classicOnly()
        .classicUpperBounds(*bounds)
        .withoutExemplars()
        .register(registry)

    private fun counter(name: String, help: String, vararg labels: String): Counter = Counter.builder()
        .name(name)
        .help(help)
        .labelNames(*labels)
        .withoutExemplars()
        .register(registry)

    companion object {
        /** Content type of [render]. */
        const val CONTENT_TYPE = PrometheusTextFormatWriter.CONTENT_TYPE

        /** Largest number of organisations with their own series. */
        const val MAX_ORGANISATIONS = 50

        /** Largest number of models with their own series; the largest planned fleet has 18 models. */
        const val MAX_MODELS = 32
        private const val RESULT_OK = "ok"
        private const val NANOS_PER_SECOND = 1e9

        // Include the targets, 0.51 s to the first token and 45 ms between tokens, so that the share that meets them is exact.
        private val FIRST_TOKEN_BOUNDS = doubleArrayOf(
            0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.35, 0.51, 0.75, 1.0, 1.5, 2.5, 5.0, 10.0, 20.0, 40.0, 60.0, 120.0, 300.0,
        )
        private val TOKEN_GAP_BOUNDS = doubleArrayOf(
            0.001, 0.0025, 0.005, 0.01, 0.015, 0.02, 0.025, 0.03, 0.035, 0.04, 0.045, 0.06, 0.08, 0.1, 0.25, 0.5, 1.0, 2.5, 10.0,
        )
        private val CONTROL_DELAY_BOUNDS = doubleArrayOf(0.0001, 0.0005, 0.001, 0.005, 0.01, 0.05, 0.1, 0.5, 1.0, 5.0)
    }
}
