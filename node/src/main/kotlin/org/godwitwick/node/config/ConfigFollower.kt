package org.godwitwick.node.config

import com.github.michaelbull.result.fold
import com.github.michaelbull.result.get
import org.godwitwick.core.config.ConfigRecord
import org.godwitwick.core.config.ConfigView
import org.godwitwick.core.config.Freshness
import org.godwitwick.core.config.encodeConfigRecord
import org.godwitwick.core.config.isSnapshotDue
import org.godwitwick.core.membership.tailersOf
import org.godwitwick.core.model.InstanceId
import org.godwitwick.node.control.ControlThread
import org.godwitwick.node.peer.ConfigNotice
import org.godwitwick.node.peer.ConfigPull
import org.godwitwick.node.peer.ConfigPullAnswer
import org.godwitwick.node.peer.Peer
import org.godwitwick.node.peer.PeerSystem
import org.godwitwick.node.platform.LogFailure
import org.godwitwick.node.platform.LogPage
import org.godwitwick.node.platform.PlatformLog
import org.slf4j.LoggerFactory
import java.util.concurrent.Executors
import java.util.concurrent.RejectedExecutionException
import java.util.concurrent.TimeUnit
import java.util.concurrent.TimeoutException
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicInteger

/** Name of the log's stream with the configuration. */
const val CONFIG_STREAM = "config"

/** Keeps [store] at the end of the stream `config`: a tailer reads the log, the others pull from the tailers and, when those are stale, from any peer. */
class ConfigFollower(
    private val self: Peer,
    private val log: PlatformLog,
    private val store: ConfigStore,
    private val peers: PeerSystem,
    private val control: ControlThread,
    private val logRetentionMs: Long,
    private val wallMs: () -> Long = System::currentTimeMillis,
    private val monotonicMs: () -> Long = { System.nanoTime() / 1_000_000 },
) : AutoCloseable {
    private val reader = Executors.newSingleThreadScheduledExecutor { Thread(it, "config-reader").apply { isDaemon = true } }
    private val writer = Executors.newSingleThreadExecutor { Thread(it, "config-snapshot").apply { isDaemon = true } }
    private val isWriting = AtomicBoolean()
    private val readRequests = AtomicInteger()
    private val pulling = HashSet<InstanceId>()
    private var turn = 0
    private var reachesLog = false
    private val pauseListeners = java.util.concurrent.CopyOnWriteArrayList<() -> Unit>()

    /** The configuration in force. */
    fun view(): ConfigView = store.view

    /** How sure this instance is of its configuration now. */
    fun freshness(): Freshness = store.freshness(monotonicMs())

    /** Whether new work is refused now. */
    fun refusesWork(): Boolean = (freshness() as? Freshness.CutOff)?.refusesWork == true

    /** Registers [listener], which runs on the control thread after this process was paused. */
    fun onPause(listener: () -> Unit) {
        pauseListeners.add(listener)
    }

    /** Starts following. */
    fun start() {
        peers.network.handle(ConfigPull::class.java) { _, pull -> onControl { store.answer(pull, monotonicMs()) } }
        peers.network.handle(ConfigNotice::class.java) { from, notice ->
            control.post {
                if (notice.nextOffset > store.state.appliedOffset + 1 ||
                    store.isStale(monotonicMs(), NOTICE_STALE_MS)
                ) {
                    pullFrom(from)
                }
            }
            null
        }
        control.every(TICK_MS, ::tick)
        control.every(PULL_PERIOD_MS, ::pull)
        control.every(SNAPSHOT_CHECK_MS, ::writeSnapshotWhenDue)
        reader.execute(::readOnce)
    }

    /** Makes this instance read the log, tailer or not, until [close] of the answer. */
    fun readLogMeanwhile(): AutoCloseable {
        readRequests.incrementAndGet()
        return AutoCloseable { readRequests.decrementAndGet() }
    }

    override fun close() {
        reader.shutdownNow()
        writer.shutdownNow()
    }

    private fun isTailer() = self.id in tailersOf(self.dataCentre, peers.members)

    private fun readOnce() {
        val delayMs = try {
            if (isTailer() || readRequests.get() > 0) readPage() else IDLE_CHECK_MS
        } catch (e: RuntimeException) {
            log().error("config: reading failed", e)
            FAILED_READ_DELAY_MS
        }
        try {
            reader.schedule(::readOnce, delayMs, TimeUnit.MILLISECONDS)
        } catch (_: RejectedExecutionException) {
            log().debug("config: reader stopped")
        }
    }

    private fun readPage(): Long {
        val from = control.ask { store.nextLogOffset }.get()
        val askedAtMs = monotonicMs()
        return log.read(CONFIG_STREAM, from, MAX_RECORDS, LONG_POLL_MS).fold(
            { page ->
                control.ask { takePage(page, from, askedAtMs) }.get()
                0L
            },
            { failure ->
                control.ask { failed(failure) }.get()
                FAILED_READ_DELAY_MS
            },
        )
    }

    private fun takePage(page: LogPage, from: Long, askedAtMs: Long) {
        val advanced = store.takeLogPage(page, from, askedAtMs)
        if (advanced || !reachesLog) notifyPeers()
        if (!reachesLog) log().info("config: log reached, offset {} applied", store.state.appliedOffset)
        reachesLog = true
    }

    private fun failed(failure: LogFailure) {
        if (reachesLog) log().warn("config: log not read: {}", failure.message)
        reachesLog = false
    }

    private fun notifyPeers() {
        val notice = ConfigNotice(store.state.appliedOffset + 1)
        peers.membership.livePeers().filter { it.dataCentre == self.dataCentre }.forEach { peers.async.send(it.id, notice) }
    }

    private fun tick() {
        val nowMs = monotonicMs()
        // Without the log, the newest configuration among the peers is the one in effect.
        val newest = peers.membership.appliedOffsets(nowMs).filter { it.id != self.id }.maxByOrNull { it.offset ?: -1 }
        val isBehind = (newest?.offset ?: -1) > store.state.appliedOffset
        val wasPaused = store.tick(nowMs, if (isBehind) emptyList() else peers.membership.regions(nowMs))
        if (isBehind && newest != null) pullFrom(newest.id)
        if (!wasPaused) return
        log().warn("config: this process was paused; new work waits for a confirmation")
        pauseListeners.forEach { it() }
        pull()
    }

    private fun pull() {
        // A tailer without the log is what the rest of its data centre follows, so it turns to other data centres sooner.
        val staleMs = if (isTailer() && !reachesLog) TAILER_STALE_MS else PULL_STALE_MS
        val isStale = store.isStale(monotonicMs(), staleMs)
        val tailers = tailersOf(self.dataCentre, peers.members).filter { it != self.id }
        if (tailers.isNotEmpty() && (!isTailer() || isStale)) pullFrom(tailers[Math.floorMod(turn++, tailers.size)])
        // Before the first beats are exchanged nobody is live, so listed members are asked too.
        if (isStale) peers.members.filter { it.id != self.id && it.peerAddress != null }.randomOrNull()?.let { pullFrom(it.id) }
    }

    private fun pullFrom(peer: InstanceId) {
        if (!pulling.add(peer)) return
        val pull = store.pull()
        val askedAtMs = monotonicMs()
        peers.async.ask(peer, pull, PULL_TIMEOUT_MS).thenAccept { answer ->
            control.post {
                pulling.remove(peer)
                val message = answer.get() as? ConfigPullAnswer ?: return@post
                store.takePeerAnswer(message, pull.fromOffset, askedAtMs)
            }
        }
    }

    private fun writeSnapshotWhenDue() {
        val state = store.state
        if (!isTailer() || freshness() != Freshness.Current || !isSnapshotDue(state, wallMs(), logRetentionMs)) return
        if (!isWriting.compareAndSet(false, true)) return
        writer.execute {
            try {
                val record = encodeConfigRecord(ConfigRecord.Snapshot(state.toSnapshot()))
                log.append(CONFIG_STREAM, record, APPEND_TIMEOUT_MS).fold(
                    { log().info("config: snapshot at {} appended at {}, {} bytes", state.appliedOffset, it, record.size) },
                    { log().warn("config: snapshot at {} not appended: {}", state.appliedOffset, it.message) },
                )
            } finally {
                isWriting.set(false)
            }
        }
    }

    private fun <T> onControl(query: () -> T): T? = try {
        control.ask(query).get(CONTROL_TIMEOUT_MS, TimeUnit.MILLISECONDS)
    } catch (_: TimeoutException) {
        null
    }

    private fun log() = LOG

    private companion object {
        val LOG = LoggerFactory.getLogger(ConfigFollower::class.java)
        const val TICK_MS = 250L
        const val PULL_PERIOD_MS = 250L
        const val PULL_STALE_MS = 1_500L
        const val TAILER_STALE_MS = 500L
        const val PULL_TIMEOUT_MS = 1_000L
        const val NOTICE_STALE_MS = 500L
        const val LONG_POLL_MS = 400L
        const val MAX_RECORDS = 500
        const val IDLE_CHECK_MS = 50L
        const val FAILED_READ_DELAY_MS = 250L
        const val SNAPSHOT_CHECK_MS = 10_000L
        const val APPEND_TIMEOUT_MS = 5_000L
        const val CONTROL_TIMEOUT_MS = 500L
    }
}
