package org.godwitwick.lab.mixed

import org.godwitwick.standins.platform.FakePlatformStore
import org.godwitwick.standins.platform.ReceivedRequest
import org.godwitwick.standins.platform.ScriptedUpstream
import org.godwitwick.standins.platform.beginStream
import org.godwitwick.standins.platform.chunk
import org.godwitwick.standins.platform.fail
import org.godwitwick.standins.platform.hasKey
import org.godwitwick.standins.platform.id
import org.godwitwick.standins.platform.lastEventId
import org.godwitwick.standins.platform.organisation
import org.godwitwick.standins.platform.refuse
import org.godwitwick.standins.platform.succeed
import org.godwitwick.standins.platform.target
import org.godwitwick.standins.platform.upstreamRegistration
import java.io.IOException
import java.io.OutputStream
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random

/** Upstreams of a run, registered at [store]. What they do with a request follows from [seed] and the id of the request. */
class MixedUpstreams(
    private val store: FakePlatformStore,
    private val seed: Long,
    private val seen: Observations,
    private val nowMs: () -> Long,
) : AutoCloseable {
    private inner class Running(val id: String, val service: String) {
        val upstream = ScriptedUpstream(id) { request, out, _ -> serve(this, request, out) }.also { it.keepsBodies = false }

        @Volatile
        var hasCrashed = false

        @Volatile
        var limitPerSecond: Double? = null
    }

    private val running = ConcurrentHashMap<String, Running>()
    private val left = ConcurrentHashMap<String, Running>()
    private val timer = Executors.newScheduledThreadPool(2) { Thread(it, "upstream-timer").apply { isDaemon = true } }
    private val count = AtomicInteger()

    /** Share of requests that upstreams refuse, in percent. */
    @Volatile
    var refusedPercent = CALM_REFUSED_PERCENT

    /** Starts and registers an upstream of [service] and returns its id. */
    fun start(service: String): String {
        val id = "$service-${count.incrementAndGet()}"
        val started = Running(id, service)
        running[id] = started
        store.put(TOPIC, id, upstreamRegistration(service, started.upstream.address))
        return id
    }

    /** Lets an upstream of [service] leave, which ends [lingerMs] after the store has accepted it, and starts another one. */
    fun replace(service: String, lingerMs: Long, random: Random) {
        val candidates = running.filterValues {
            it.service == service && !it.hasCrashed && it.limitPerSecond == null
        }.keys.sorted()
        val id = candidates.randomOrNull(random) ?: return
        val leaving = running.remove(id) ?: return
        left[id] = leaving
        start(service)
        store.put(TOPIC, id, upstreamRegistration(service, leaving.upstream.address, "draining", sequence = 2))
        seen.events += FleetEvent.UpstreamLeaves(nowMs(), id)
        schedule(lingerMs) {
            leaving.upstream.close()
            store.put(TOPIC, id, "")
        }
    }

    /** Lets one more upstream of [service] state that it takes [perSecond] requests a second. */
    fun limit(service: String, perSecond: Double) {
        val id = start(service)
        running.getValue(id).limitPerSecond = perSecond
        seen.events += FleetEvent.LimitStated(nowMs(), id, perSecond)
    }

    private fun serve(self: Running, request: ReceivedRequest, out: OutputStream) {
        val upstream = self.id
        val kind = RequestKind.entries.firstOrNull { request.target.startsWith(it.path) } ?: return out.refuse(request)
        val arrivedMs = nowMs()
        val record = { handling: Handling ->
            seen.arrivals += Arrival(request.id, upstream, arrivedMs, handling, request.organisation, request.hasKey)
        }
        val random = Random(seed * PRIME + (request.id + upstream).hashCode())
        if (request.target.startsWith(CRASHING_PATH)) return crash(self, record)
        if (random.nextInt(PERCENT) < refusedPercent) {
            record(Handling.REFUSED)
            return out.refuse(request, self.limitPerSecond)
        }
        Thread.sleep(if (random.nextInt(PERCENT) < LONG_PERCENT) random.nextLong(LONG_MS) else random.nextLong(SHORT_MS))
        try {
            val isSound = random.nextInt(PERCENT) >= FAILED_PERCENT
            if (isSound) succeed(self, kind, upstream, request, out) else failOrBreak(kind, self, request, out, random)
            out.flush()
            record(if (isSound) Handling.SERVED else Handling.FAILED)
        } catch (e: IOException) {
            // A sound upstream would have answered: the instance has closed the connection.
            record(if (self.hasCrashed || e is BrokenOff) Handling.FAILED else Handling.SERVED)
            throw e
        }
    }

    private fun succeed(self: Running, kind: RequestKind, upstream: String, request: ReceivedRequest, out: OutputStream) {
        if (kind == RequestKind.DRAFT) {
            stream(upstream, request, out, ExpectedAnswer.EVENTS)
            return out.chunk("")
        }
        val answer = ExpectedAnswer.of(kind, request.id, upstream)
        out.succeed(request, answer.signature, answer.body, self.limitPerSecond)
    }

    private fun failOrBreak(kind: RequestKind, self: Running, request: ReceivedRequest, out: OutputStream, random: Random) {
        if (kind != RequestKind.DRAFT && random.nextBoolean()) {
            return out.fail(request, ExpectedAnswer.signatureOf(request.id, self.id), self.limitPerSecond)
        }
        if (kind == RequestKind.DRAFT) stream(self.id, request, out, random.nextInt(ExpectedAnswer.EVENTS))
        throw BrokenOff()
    }

    private fun stream(upstream: String, request: ReceivedRequest, out: OutputStream, end: Int) {
        out.beginStream(request, ExpectedAnswer.signatureOf(request.id, upstream))
        for (number in (request.lastEventId?.plus(1) ?: 0) until end) {
            out.chunk(ExpectedAnswer.eventOf(request.id, number))
            Thread.sleep(EVENT_GAP_MS)
        }
    }

    private fun crash(self: Running, record: (Handling) -> Unit) {
        record(Handling.CRASHED)
        Thread.sleep(CRASH_AFTER_MS)
        self.hasCrashed = true
        running.remove(self.id)
        left[self.id] = self
        schedule(RESTART_MS) { start(self.service) }
        schedule(EXPIRY_MS) { store.put(TOPIC, self.id, "") }
        self.upstream.close()
        throw BrokenOff()
    }

    private fun schedule(delayMs: Long, action: () -> Unit) {
        timer.schedule(action, delayMs, TimeUnit.MILLISECONDS)
    }

    override fun close() {
        timer.shutdownNow()
        (running.values + left.values).forEach { it.upstream.close() }
    }

    private class BrokenOff : IOException("broken off")

    companion object {
        /** Prefix of the path of requests that end each upstream that runs them. */
        const val CRASHING_PATH = "/charge/crash"

        /** [refusedPercent] of sound upstreams. */
        const val CALM_REFUSED_PERCENT = 4
        private const val TOPIC = "keyed.servers"
        private const val PRIME = 1_000_003L
        private const val PERCENT = 100
        private const val FAILED_PERCENT = 3
        private const val LONG_PERCENT = 5
        private const val LONG_MS = 1_500L
        private const val SHORT_MS = 40L
        private const val EVENT_GAP_MS = 15L
        private const val CRASH_AFTER_MS = 150L
        private const val RESTART_MS = 1_500L
        private const val EXPIRY_MS = 3_600L
    }
}
