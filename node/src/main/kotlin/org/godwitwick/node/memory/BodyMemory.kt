package org.godwitwick.node.memory

import io.prometheus.metrics.core.metrics.CounterWithCallback
import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.model.registry.PrometheusRegistry
import org.godwitwick.core.memory.MemoryBudget
import org.godwitwick.core.memory.RefusalReport
import org.http4k.core.Body
import org.http4k.core.Response
import org.slf4j.LoggerFactory

/**
 * Bounds the memory for the bodies of requests and of buffered answers as a sum over the process. Thread-safe.
 *
 * @param limitBytes sum of all bodies, see [bodyMemoryBytes].
 */
class BodyMemory(limitBytes: Long, private val nowMs: () -> Long) {
    private val budget = MemoryBudget(limitBytes)
    private val report = RefusalReport(REPORT_PERIOD_MS)
    private var refusedCount = 0L

    /** Largest body for which there is ever enough memory, in bytes. */
    val largestBytes: Long get() = budget.largeLimitBytes

    /** Sum of all shares, in bytes. */
    val usedBytes: Long get() = synchronized(this) { budget.usedBytes }

    /** Opens the share of a request, which is empty at first. It must be closed when the request ends, in whatever way. */
    fun open() = BodyShare(this)

    /** Calls [serve] with the share of one request, which is released when the body of the response is closed. */
    fun holding(serve: (BodyShare) -> Response): Response {
        val share = open()
        var isServed = false
        try {
            val response = serve(share)
            isServed = true
            return response.body(Body(ClosingInputStream(response.body.stream, share::close), response.body.length))
        } finally {
            if (!isServed) share.close()
        }
    }

    /** Registers the metrics of this memory in [registry]. */
    fun register(registry: PrometheusRegistry) {
        gauge(registry, "godwitwick_body_memory_limit_bytes", "Bytes that bodies may use at once.") { budget.limitBytes }
        gauge(registry, "godwitwick_body_memory_used_bytes", "Bytes reserved for bodies.") { usedBytes }
        CounterWithCallback.builder()
            .name("godwitwick_body_memory_refusals_total")
            .help("Bodies that were not held in memory because the limit was reached.")
            .callback { it.call(synchronized(this) { refusedCount }.toDouble()) }
            .register(registry)
    }

    private fun gauge(registry: PrometheusRegistry, name: String, help: String, value: () -> Long) =
        GaugeWithCallback.builder().name(name).help(help).callback { it.call(value().toDouble()) }.register(registry)

    internal fun resize(fromBytes: Long, toBytes: Long): Boolean {
        val reported = synchronized(this) {
            if (budget.resize(fromBytes, toBytes)) return true
            refusedCount++
            report.onRefused(nowMs())
        }
        reported?.let {
            log.warn(
                "http: {} bodies not held, the last of {} bytes; limit {}, used {}",
                it,
                toBytes,
                budget.limitBytes,
                usedBytes,
            )
        }
        return false
    }

    private companion object {
        const val REPORT_PERIOD_MS = 5_000L
        val log = LoggerFactory.getLogger(BodyMemory::class.java)
    }
}

/** The part of a [BodyMemory] that one request uses. Used by one thread at a time. */
class BodyShare internal constructor(private val memory: BodyMemory) : AutoCloseable {
    /** Size of this share. */
    var bytes = 0L
        private set

    /** Changes the size to [toBytes]. Returns false and changes nothing if the memory is used up. */
    fun resize(toBytes: Long): Boolean {
        if (!memory.resize(bytes, toBytes)) return false
        bytes = toBytes
        return true
    }

    override fun close() {
        resize(0)
    }
}

/** Memory for bodies in a process that may use [heapBytes] of heap, if they may use [fraction] of it. */
fun bodyMemoryBytes(fraction: Double = DEFAULT_BODY_MEMORY_FRACTION, heapBytes: Long = Runtime.getRuntime().maxMemory()): Long =
    (heapBytes * fraction).toLong()

/** Leaves the rest of the heap to the fixed data of the process, and to heads, events and copies of the requests in flight. */
const val DEFAULT_BODY_MEMORY_FRACTION = 0.3
