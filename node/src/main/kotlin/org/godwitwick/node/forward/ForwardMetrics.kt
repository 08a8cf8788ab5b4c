package org.godwitwick.node.forward

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.model.registry.PrometheusRegistry

/**
 * Metrics of forwarded requests.
 *
 * @param quarantinedCount returns the number of traits for which requests are refused.
 * @param limitedCount returns the number of upstreams that state a limit.
 * @param leavingCount returns the number of registered upstreams that have stated that they are leaving.
 * @param cutOff returns 1 while this instance is cut off from all upstreams, otherwise 0.
 * @param evacuatedCount returns the number of evacuated data centres.
 * @param coldCount returns the number of upstreams that are cold.
 */
class ForwardMetrics(
    registry: PrometheusRegistry,
    quarantinedCount: () -> Int,
    limitedCount: () -> Int,
    leavingCount: () -> Int,
    cutOff: () -> Int,
    evacuatedCount: () -> Int,
    coldCount: () -> Int,
) {
    private val requests = Counter.builder()
        .name("godwitwick_forwarded_requests_total")
        .help("Ended requests by service and outcome.")
        .labelNames("service", "outcome")
        .withoutExemplars()
        .register(registry)
    private val retries = Counter.builder()
        .name("godwitwick_forward_repeats_total")
        .help("Requests that were sent to one more upstream.")
        .labelNames("service")
        .withoutExemplars()
        .register(registry)
    private val relayed = Counter.builder()
        .name("godwitwick_forward_relayed_total")
        .help("Sends of requests to other instances, by result.")
        .labelNames("result")
        .withoutExemplars()
        .register(registry)
    private val regionRefusals = Counter.builder()
        .name("godwitwick_forward_region_refusals_total")
        .help("Requests that were refused because no upstream is in an allowed region.")
        .labelNames("service")
        .withoutExemplars()
        .register(registry)
    private val firstByte =
        histogram(registry, "godwitwick_forward_first_byte_seconds", "Time from the arrival to the first byte.")
    private val duration =
        histogram(registry, "godwitwick_forward_duration_seconds", "Time from the arrival to the end of the answer.")
    private val waiting = histogram(
        registry,
        "godwitwick_forward_wait_seconds",
        "Time that long prompts waited at this instance because the engines had prefill pending.",
    )

    private val ranked = Counter.builder()
        .name("godwitwick_forward_ranked_total")
        .help("Decisions on requests to services with stated ranks, by level and decision: in-time, late or waited.")
        .labelNames("service", "level", "decision")
        .withoutExemplars()
        .register(registry)

    init {
        gauge(
            registry,
            "godwitwick_forward_quarantined_traits",
            "Parts of prompts, or whole requests, that are refused because upstreams crashed with them.",
            quarantinedCount,
        )
        gauge(registry, "godwitwick_forward_limited_upstreams", "Upstreams that state a limit.", limitedCount)
        gauge(registry, "godwitwick_forward_leaving_upstreams", "Registered upstreams that have stated they leave.", leavingCount)
        gauge(registry, "godwitwick_forward_cut_off", "Whether no upstream accepts connections of this instance.", cutOff)
        gauge(registry, "godwitwick_forward_evacuated_data_centres", "Evacuated data centres.", evacuatedCount)
        gauge(registry, "godwitwick_forward_cold_upstreams", "Upstreams that are cold.", coldCount)
    }

    /** Counts a send to another instance that ended with [result]. */
    fun recordRelay(result: String) = relayed.labelValues(result).inc()

    /** Counts a request to [service] that was refused because no upstream is in an allowed region. */
    fun recordRegionRefusal(service: String) = regionRefusals.labelValues(service).inc()

    private fun gauge(registry: PrometheusRegistry, name: String, help: String, value: () -> Int) =
        GaugeWithCallback.builder().name(name).help(help).callback { it.call(value().toDouble()) }.register(registry)

    /** Records that a request to [service] waited for [waitedMs] before it was sent or failed. */
    fun recordWait(service: String, waitedMs: Long) = waiting.labelValues(service).observe(waitedMs / MS_PER_SECOND)

    /**
     * Records the end of a request to [service]; [firstByteMs] and [durationMs] count from its arrival, [firstByteMs] is null if
     * no byte was sent.
     */
    fun recordEnd(service: String, outcome: String, firstByteMs: Long?, durationMs: Long) {
        requests.labelValues(service, outcome).inc()
        firstByteMs?.let { firstByte.labelValues(service).observe(it / MS_PER_SECOND) }
        duration.labelValues(service).observe(durationMs / MS_PER_SECOND)
    }

    /** Counts a [decision] on a request of [level] to [service]. */
    fun recordRanked(service: String, level: Int, decision: String) =
        ranked.labelValues(service, level.toString(), decision).inc()

    /** Counts a retry of a request at another upstream of [service]. */
    fun recordRetry(service: String) = retries.labelValues(service).inc()

    private fun histogram(registry: PrometheusRegistry, name: String, help: String): Histogram = Histogram.builder()
        .name(name)
        .help(help)
        .labelNames("service")
        .classicOnly()
        .classicUpperBounds(0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 1.5, 2.5, 5.0, 10.0, 20.0)
        .withoutExemplars()
        .register(registry)

    private companion object {
        const val MS_PER_SECOND = 1e3
    }
}
