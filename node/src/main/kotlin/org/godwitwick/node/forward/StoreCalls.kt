package org.godwitwick.node.forward

import io.prometheus.metrics.core.metrics.CounterWithCallback
import io.prometheus.metrics.model.registry.PrometheusRegistry
import org.slf4j.LoggerFactory
import java.util.EnumMap
import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.atomic.LongAdder

/**
 * Purpose of a call to the store.
 *
 * @property label value of the label `purpose` of the metric.
 */
enum class StoreCallPurpose(val label: String) {
    /** First registration of this instance. */
    REGISTRATION("registration"),

    /** Renewal of the registration, of which the store charges a tenth. */
    RENEWAL("renewal"),

    /** List of the registered instances. */
    MEMBERS("members"),
    CONFIG_FEED("config-feed"),
    UPSTREAM_FEED("upstream-feed"),
    QUARANTINES("quarantines"),

    /** The secret that only the instances share. */
    SECRET("secret"),
}

/**
 * Counts the calls to the store by purpose, whatever their outcome, and logs the sums at most once a minute. Thread safe.
 *
 * @param nowMs returns the monotonic time in milliseconds.
 */
class StoreCalls(private val nowMs: () -> Long = Clocks::steadyMs) {
    private val counts = EnumMap<StoreCallPurpose, LongAdder>(StoreCallPurpose::class.java).apply {
        StoreCallPurpose.entries.forEach { put(it, LongAdder()) }
    }
    private val nextLogMs = AtomicLong(nowMs() + LOG_PERIOD_MS)

    /** Counts a call for [purpose] that is about to be sent. */
    fun record(purpose: StoreCallPurpose) {
        counts.getValue(purpose).increment()
        val now = nowMs()
        val due = nextLogMs.get()
        if (now < due || !nextLogMs.compareAndSet(due, now + LOG_PERIOD_MS)) return
        log.info("store: calls since the start: {}", snapshot().entries.joinToString { "${it.key.label} ${it.value}" })
    }

    /** Number of calls since the start by purpose. */
    fun snapshot(): Map<StoreCallPurpose, Long> = counts.mapValues { it.value.sum() }

    /** Adds the counter to [registry]. */
    fun register(registry: PrometheusRegistry) {
        CounterWithCallback.builder()
            .name("godwitwick_store_calls_total")
            .help("Calls to the store by purpose, refused and failed ones included.")
            .labelNames("purpose")
            .callback { callback -> snapshot().forEach { (purpose, count) -> callback.call(count.toDouble(), purpose.label) } }
            .register(registry)
    }

    private companion object {
        const val LOG_PERIOD_MS = 60_000L
        val log = LoggerFactory.getLogger(StoreCalls::class.java)
    }
}
