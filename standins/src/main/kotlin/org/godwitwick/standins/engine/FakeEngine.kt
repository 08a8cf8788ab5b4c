package org.godwitwick.standins.engine

import java.util.concurrent.atomic.AtomicInteger

/**
 * Stand-in of a model engine; section 6 of the design page lists its endpoints. While a stream waits for its first token the engine
 * sends an SSE comment every second.
 *
 * @property prefillTokensPerSecond speed of prefill in model time.
 * @property tokenGapMs time between generated tokens in model time.
 * @property timeScale model milliseconds for each real millisecond.
 * @property loadLagMs age of the load report, in real time.
 * @property cacheEventDelayMs delay of cache events, in real time.
 * @property cacheEventGapEvery every so many events one is lost; 0 for none.
 * @property checksFencing whether an order with an old fencing number is refused.
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

    /** Fault switches. */
    val faults = EngineFaults()

    @Volatile
    private var process: EngineProcess? = newProcess(port)
    private val fixedPort = process!!.port
    private val pastDispatches = AtomicInteger()
    private val pastDeaths = AtomicInteger()

    /** `ip:port` of the stand-in; it stays the same when the engine restarts. */
    val address: String = "127.0.0.1:$fixedPort"

    /** Changes with every restart; null while the engine is dead. */
    val incarnation: String? get() = process?.incarnation

    /** Tokens of KV memory that are not evictable; 0 while the engine is dead. */
    val kvUsedTokens: Int get() = process?.kvUsedTokens ?: 0

    /** Present holds. */
    val holds: List<EngineHold> get() = process?.holds ?: emptyList()

    /** Requests that are admitted and not ended. */
    val running: Int get() = process?.running ?: 0

    /** Generate requests that were accepted over all incarnations. */
    val dispatches: Int get() = pastDispatches.get() + (process?.dispatches?.get() ?: 0)

    /** How often the engine has died. */
    val deaths: Int get() = pastDeaths.get()

    /** Orders that changed something in this incarnation, in order. */
    val executedOrders: List<ExecutedOrder> get() = process?.orders?.executed ?: emptyList()

    /** Stops answering and closes all connections. */
    @Synchronized
    fun die() {
        val dying = process ?: return
        process = null
        pastDeaths.incrementAndGet()
        pastDispatches.addAndGet(dying.dispatches.get())
        dying.close()
    }

    /** Starts a new incarnation with empty memory at the same address, after [die] if the engine lives. */
    @Synchronized
    fun restart() {
        die()
        process = newProcess(fixedPort)
    }

    /** Sets whether the engine is leaving. */
    fun setLeaving(isLeaving: Boolean) {
        process?.isLeaving = isLeaving
    }

    /** Open streams stop delivering for ever; new ones work. */
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

    // The answer to the fault request is written before the server stops.
    private fun inBackground(action: () -> Unit) {
        Thread({
            Thread.sleep(ANSWER_GRACE_MS)
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
        const val ANSWER_GRACE_MS = 20L
    }
}
