package org.godwitwick.node.forward

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.model.registry.PrometheusRegistry

/** Metrics of forwarded requests. */
class ForwardMetrics(registry: PrometheusRegistry) {
    private val requests = Counter.builder()
        .name("godwitwick_forwarded_requests_total")
        .help("Ended requests by service and outcome.")
        .labelNames("service", "outcome")
        .withoutExemplars()
        .register(registry)
    private val repeats = Counter.builder()
        .name("godwitwick_forward_repeats_total")
        .help("Requests that were sent to one more upstream.")
        .labelNames("service")
        .withoutExemplars()
        .register(registry)
    private val firstByte =
        histogram(registry, "godwitwick_forward_first_byte_seconds", "Time from the arrival to the first byte.")
    private val whole =
        histogram(registry, "godwitwick_forward_duration_seconds", "Time from the arrival to the end of the answer.")

    /** Counts the end of a request to [service]; times are in milliseconds, [firstByteMs] null when nothing came. */
    fun ended(service: String, outcome: String, firstByteMs: Long?, durationMs: Long) {
        requests.labelValues(service, outcome).inc()
        firstByteMs?.let { firstByte.labelValues(service).observe(it / MS_PER_SECOND) }
        whole.labelValues(service).observe(durationMs / MS_PER_SECOND)
    }

    /** Counts a request that is sent to one more upstream of [service]. */
    fun repeated(service: String) = repeats.labelValues(service).inc()

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
