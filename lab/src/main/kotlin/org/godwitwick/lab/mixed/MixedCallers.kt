package org.godwitwick.lab.mixed

import org.godwitwick.standins.platform.PlatformCaller
import kotlin.concurrent.thread
import kotlin.random.Random

/** Callers that send one request at a time each, until they are closed. */
class MixedCallers(
    private val instances: MixedInstances,
    private val keys: List<String>,
    private val seed: Long,
    private val seen: Observations,
    private val nowMs: () -> Long,
) : AutoCloseable {
    private val client = PlatformCaller(DEADLINE_MS)

    @Volatile
    private var isClosed = false
    private var threads: List<Thread> = emptyList()

    /** Starts [count] callers, and one whose requests crash upstreams. */
    fun start(count: Int) {
        threads = (1..count).map { caller -> loop("c$caller", ::sendOne) } + loop("crash", ::sendCrashing)
    }

    private fun loop(name: String, send: (id: String, random: Random) -> Unit) = thread(isDaemon = true, name = name) {
        val random = Random(seed * PRIME + name.hashCode())
        var number = 0
        while (!isClosed) send("$name-${number++}", random)
    }

    private fun sendOne(id: String, random: Random) {
        val kind = KINDS.random(random)
        // Half of the requests have the key that stays.
        val key = if (random.nextBoolean()) keys.first() else keys.random(random)
        send(id, kind, "${kind.path}$id", key, "order".takeIf { kind != RequestKind.STATUS }, random)
        Thread.sleep(random.nextLong(MIN_PAUSE_MS, MAX_PAUSE_MS))
    }

    private fun sendCrashing(id: String, random: Random) {
        send(id, RequestKind.CHARGE, MixedUpstreams.CRASHING_PATH, keys.first(), "crash", random)
        Thread.sleep(CRASHING_PAUSE_MS)
    }

    private fun send(id: String, kind: RequestKind, path: String, key: String, body: String?, random: Random) {
        val instance = instances.inRotation.randomOrNull(random) ?: return
        val sentMs = nowMs()
        val answer = client.send(instance.ports.callers, path, id, key, body)
        seen.attempts += CallerAttempt(id, kind, key, instance.name, sentMs, nowMs(), answer)
    }

    /** Stops the callers and waits for the answers to their last requests. */
    override fun close() {
        isClosed = true
        threads.forEach { it.join() }
        client.close()
    }

    private companion object {
        const val PRIME = 1_000_003L
        const val DEADLINE_MS = 8_000L
        const val MIN_PAUSE_MS = 10L
        const val MAX_PAUSE_MS = 40L
        const val CRASHING_PAUSE_MS = 700L
        val KINDS = List(5) { RequestKind.CHARGE } + List(3) { RequestKind.STATUS } + List(2) { RequestKind.DRAFT }
    }
}
