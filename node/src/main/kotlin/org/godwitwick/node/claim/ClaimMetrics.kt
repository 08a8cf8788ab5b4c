package org.godwitwick.node.claim

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.CounterWithCallback
import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.model.registry.PrometheusRegistry
import org.godwitwick.core.claim.DispatchState
import org.godwitwick.node.peer.ClaimRuling

/** Metrics of the claim path. Each label has a fixed set of values. */
class ClaimMetrics(private val registry: PrometheusRegistry) {
    private val rulings = counter("godwitwick_claim_rulings", "Rulings that claimants of this instance got.", "ruling")
    private val ends = counter("godwitwick_claim_ends", "Ends of calls that were granted.", "end")
    private val appends = counter("godwitwick_claim_appends", "Appends to claim streams.", "result")
    private val entries = counter("godwitwick_claim_entries", "Entries in the appends to claim streams that succeeded.")
    private val ownerUnreachable =
        counter("godwitwick_claim_owner_unreachable", "Claims for which the owner of the shard did not answer.")
    private val gaps = counter("godwitwick_claim_gaps", "Gaps in claim streams: dropped or unreadable records.")
    private val dropped =
        counter("godwitwick_claim_entries_dropped", "Ends of calls that were not appended because too many waited.")

    /** Counts a ruling. */
    fun countRuling(ruling: ClaimRuling) {
        val label = when (ruling) {
            is ClaimRuling.Granted -> "granted"
            is ClaimRuling.Replay -> "replay"
            ClaimRuling.Pending -> "pending"
            ClaimRuling.OutcomeUnknown -> "outcome_unknown"
            ClaimRuling.Mismatch -> "mismatch"
            ClaimRuling.Expired -> "expired"
            ClaimRuling.FromFuture -> "from_future"
            is ClaimRuling.LogUnavailable -> "log_unavailable"
        }
        rulings.labelValues(label).inc()
    }

    /** Counts the end of a granted call. */
    fun countEnd(state: DispatchState) {
        val label = when (state) {
            is DispatchState.Done -> "done"
            DispatchState.NotRun -> "not_run"
            DispatchState.Claimed, DispatchState.Dispatching, DispatchState.Unknown -> "unknown"
        }
        ends.labelValues(label).inc()
    }

    /** Counts a successful append with [entryCount] entries. */
    fun countAppend(entryCount: Int) {
        appends.labelValues("ok").inc()
        entries.inc(entryCount.toLong())
    }

    /** Counts a failed append; [isRefused] is true if it certainly had no effect. */
    fun countFailedAppend(isRefused: Boolean) = appends.labelValues(if (isRefused) "refused" else "unknown").inc()

    /** Counts a claim for which the owner of the shard did not answer. */
    fun countOwnerUnreachable() = ownerUnreachable.inc()

    /** Counts a gap in a claim stream. */
    fun countGap() = gaps.inc()

    /** Counts the end of a call that was dropped instead of appended. */
    fun countDroppedEntry() = dropped.inc()

    /** Publishes the number of entries that are queued for the log. */
    fun publishQueuedEntries(queuedEntries: () -> Int) {
        GaugeWithCallback.builder()
            .name("godwitwick_claim_entries_waiting")
            .help("Entries of claim streams that wait for the log.")
            .callback { it.call(queuedEntries().toDouble()) }
            .register(registry)
    }

    /** Publishes the number of service answers that were dropped because they belonged to another request. */
    fun publishCrossedAnswers(count: () -> Long) {
        CounterWithCallback.builder()
            .name("godwitwick_service_crossed_answers")
            .help("Answers of services that belonged to another request and were dropped.")
            .callback { it.call(count().toDouble()) }
            .register(registry)
    }

    private fun counter(name: String, help: String, vararg labels: String): Counter =
        Counter.builder().name(name).help(help).labelNames(*labels).register(registry)
}
