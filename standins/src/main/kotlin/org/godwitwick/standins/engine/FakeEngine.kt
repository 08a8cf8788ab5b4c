package org.godwitwick.standins.engine

import java.util.concurrent.atomic.AtomicInteger

/**
 * Stand-in for a model engine. Section 6 of the design page lists its endpoints. A stream on which nothing was sent for a second,
 * such as one whose prefill is running, receives an SSE comment.
 *
 * @property prefillTokensPerSecond prefill speed in model time.
 * @property tokenGapMs model time between tokens while a single request decodes.
 * @property timeScale model milliseconds per real millisecond.
 * @property kvCapacityTokens capacity of the KV cache, in tokens.
 * @property loadLagMs age of the reported load, in real time.
 * @property cacheEventDelayMs time from a cache event until readers see it, in real time.
 * @property cacheEventGapEvery every this many cache events one is lost; 0 for none.
 * @property checksFencing whether an order is refused if its fencing number is lower than that of the slot's last order.
 */
class FakeEngine(
    port: Int,
    prefillTokensPerSecond: Double = 20_000.0,
    tokenGapMs: Double = 25.0,
    private val timeScale: Double = 1.0,
    private val kvCapacityTokens: Int = 400_000,
    decodeSlowdown: Double = 0.01,
    private val loadLagMs: Long = 0,
    private val cacheEventDelayMs: Long = 0,
    private val cacheEventGapEvery: Int = 0,
    private val checksFencing: Boolean = false,
) : AutoCloseable {
    private val spec = EngineSpec(
        prefillTokensPerSecond = prefillTokensPerSecond,
        tokenGapMs = tokenGapMs,
        decodeSlowdown = decodeSlowdown,
        timeScale = timeScale,
        kvCapacityTokens = kvCapacityTokens,
    )

    /** Fault switches that stay in force until they are changed. */
    val faults = EngineFaults()

    @Volatile
    private var process: EngineProcess? = newProcess(port)
    private val fixedPort = process!!.port
    private val pastDispatches = AtomicInteger()
    private val pastDeaths = AtomicInteger()

    /** `ip:port` of the stand-in; a restart does not change it. */
    val address: String = "127.0.0.1:$fixedPort"

    /** Id of the current incarnation, new with every restart; null while the engine is dead. Waits for the end of a restart. */
    val incarnation: String? get() = synchronized(this) { process?.incarnation }

    /** Tokens in the KV cache that cannot be evicted; 0 while the engine is dead. */
    val kvUsedTokens: Int get() = process?.kvUsedTokens ?: 0

    /** Current holds; empty while the engine is dead. */
    val holds: List<EngineHold> get() = process?.holds ?: emptyList()

    /** Number of admitted requests that have not ended; 0 while the engine is dead. */
    val running: Int get() = process?.running ?: 0

    /** Number of generate requests admitted, over all incarnations. */
    val dispatches: Int get() = pastDispatches.get() + (process?.dispatches?.get() ?: 0)

    /** Number of times the engine has died, including for a restart. */
    val deaths: Int get() = pastDeaths.get()

    /** Orders that changed the target of their slot in the current incarnation, in order of execution. */
    val executedOrders: List<ExecutedOrder> get() = process?.orders?.executed ?: emptyList()

    /** Simulates a crash: closes all connections and stops listening. Does nothing if the engine is dead. */
    @Synchronized
    fun die() {
        val stopping = process ?: return
        process = null
        pastDeaths.incrementAndGet()
        pastDispatches.addAndGet(stopping.dispatches.get())
        stopping.close()
    }

    /** Starts a new incarnation with an empty KV cache at the same address; calls [die] first if the engine is alive. */
    @Synchronized
    fun restart() {
        die()
        process = newProcess(fixedPort)
    }

    /** Sets whether the engine reports that it is leaving. */
    fun setLeaving(isLeaving: Boolean) {
        process?.isLeaving = isLeaving
    }

    /** Stops delivery on all open streams permanently, with their connections left open; new streams work. */
    fun freezeStreams() {
        process?.freezeStreams()
    }

    /** Closes the connections of all open streams. */
    fun resetStreams() {
        process?.resetStreams()
    }

    private fun newProcess(port: Int) = EngineProcess(
        port,
        EngineSetup(spec, loadLagMs, cacheEventDelayMs, cacheEventGapEvery, checksFencing),
        faults,
        onFault = ::applyFault,
        onCrash = { Thread(::die, "engine-crash").start() },
    )

    private fun applyFault(message: FaultMessage): Boolean {
        when (message.fault) {
            "die" -> inBackground { die() }
            "restart" -> inBackground { restart() }
            "leaving" -> setLeaving(message.value != "false")
            "silent" -> faults.isSilent = message.value != "false"
            "freeze_streams" -> freezeStreams()
            "reset" -> resetStreams()
            "crash_marker" -> faults.crashMarker = message.value
            "cross" -> faults.crossing = Crossing.entries.firstOrNull { it.name.equals(message.value, ignoreCase = true) }
            "drop_cancel_reply" -> faults.dropsCancelReply = message.value != "false"
            "out_of_memory" -> faults.isOutOfMemory = message.value != "false"
            else -> return false
        }
        return true
    }

    // The delay lets the response to the fault request be written before the server stops.
    private fun inBackground(action: () -> Unit) {
        Thread({
            Thread.sleep(RESPONSE_GRACE_MS)
            action()
        }, "engine-fault").apply { isDaemon = true }.start()
    }

    override fun close() {
        synchronized(this) {
            process?.close()
            process = null
        }
    }

    private companion object {
        const val RESPONSE_GRACE_MS = 20L
    }
}
