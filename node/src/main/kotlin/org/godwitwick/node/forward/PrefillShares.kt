package org.godwitwick.node.forward

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.model.registry.PrometheusRegistry
import kotlin.random.Random

/** What an instance needs to share the engines of services that are contended by rank: the queue, the recent work and the metrics. */
class PrefillShares(
    places: PrefillQueue,
    val work: FleetRecentWork,
    registry: PrometheusRegistry,
    nowMs: () -> Long,
    random: Random,
) {
    /** Long prompts that wait. */
    val queue = RankedPrefillQueue(places, work::all, nowMs, random)
    private val waits = Counter.builder()
        .name("godwitwick_forward_ranked_waits_total")
        .help("Ended waits of long prompts at services that are contended by rank, by outcome.")
        .labelNames("service", "outcome")
        .withoutExemplars()
        .register(registry)

    init {
        GaugeWithCallback.builder()
            .name("godwitwick_forward_ranked_waiting")
            .help("Long prompts that wait at services that are contended by rank.")
            .callback { it.call(queue.size.toDouble()) }
            .register(registry)
        GaugeWithCallback.builder()
            .name("godwitwick_forward_recent_organisations")
            .help("Organisations with recent work in the fleet, as far as this instance knows.")
            .callback { it.call(work.all(nowMs()).size.toDouble()) }
            .register(registry)
    }

    /** Counts the end of a wait at [service]. */
    fun recordWaitEnd(service: String, outcome: String) = waits.labelValues(service, outcome).inc()

    /** Returns [progress], whose ends are events of [queue]. */
    fun observed(progress: UpstreamLoads.WorkInProgress): UpstreamLoads.WorkInProgress = object : UpstreamLoads.WorkInProgress {
        override fun onPrefillDone() {
            progress.onPrefillDone()
            queue.onOwnEnd()
        }

        override fun end() {
            progress.end()
            queue.onOwnEnd()
        }
    }
}
