package org.godwitwick.node.config

import com.github.michaelbull.result.fold
import com.github.michaelbull.result.get
import org.godwitwick.core.config.ConfigRecord
import org.godwitwick.core.config.ConfigView
import org.godwitwick.core.config.Freshness
import org.godwitwick.core.config.encodeConfigRecord
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

/** Name of the log stream that contains the configuration. */
const val CONFIG_STREAM = "config"

/**
 * Keeps [store] up to date with the log stream `config`.
 *
 * Tailers read the log; the other instances of a data centre pull from the tailers. An instance whose configuration is stale also
 * pulls from any other member.
 */
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
    private val isWritingSnapshot = AtomicBoolean()
    private val readRequests = AtomicInteger()
    private val pendingPulls = HashSet<InstanceId>()
    private var nextTailer = 0
    private var isLogReachable = false
    private val pauseListeners = java.util.concurrent.CopyOnWriteArrayList<() -> Unit>()

    /** The configuration in force. */
    fun view(): ConfigView = store.view

    /** Whether this instance can currently rely on its configuration being the newest. */
    fun freshness(): Freshness = store.freshness(monotonicMs())

    /** Whether this instance currently refuses new work. */
    fun refusesWork(): Boolean = (freshness() as? Freshness.CutOff)?.refusesWork == true

    /** Registers [listener], which runs on the control thread after a pause of this process was detected. */
    fun onPause(listener: () -> Unit) {
        pauseListeners.add(listener)
    }

    /** Starts reading the log, pulling from peers and answering pulls of peers. */
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
        control.every(SNAPSHOT_CHECK_MS, ::writeSnapshotIfDue)
        reader.execute(::readOnce)
    }

    /** Makes this instance read the log, even if it is not a tailer, until the returned handle is closed. */
    fun startReadingLog(): AutoCloseable {
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
            log().error("config: reading the log failed", e)
            FAILED_READ_DELAY_MS
        }
        try {
            reader.schedule(::readOnce, delayMs, TimeUnit.MILLISECONDS)
        } catch (_: RejectedExecutionException) {
            log().debug("config: the log reader has stopped")
        }
    }

    private fun readPage(): Long {
        val from = control.ask { store.nextLogOffset }.get()
        val askedAtMs = monotonicMs()
        return log.read(CONFIG_STREAM, from, MAX_RECORDS, LONG_POLL_MS).fold(
            { page ->
                control.ask { applyPage(page, from, askedAtMs) }.get()
                0L
            },
            { failure ->
                control.ask { onReadFailure(failure) }.get()
                FAILED_READ_DELAY_MS
            },
        )
    }

    private fun applyPage(page: LogPage, from: Long, askedAtMs: Long) {
        val knownUnreadable = store.unreadableSnapshotOffset
        val advanced = store.applyLogPage(page, from, askedAtMs)
        if (store.unreadableSnapshotOffset.let { it != null && it != knownUnreadable }) reportUnreadableSnapshot()
        if (advanced || !isLogReachable) notifyPeers()
        if (!isLogReachable) log().info("config: the log is reachable, applied offset is {}", store.state.appliedOffset)
        isLogReachable = true
    }

    private fun reportUnreadableSnapshot() = log().error(
        "config: the snapshot at offset {} has a format of a later version; this instance writes none{}",
        store.unreadableSnapshotOffset,
        if (store.awaitsSnapshot) " and refuses work, as it lacks earlier records: start the later version" else "",
    )

    private fun onReadFailure(failure: LogFailure) {
        if (isLogReachable) log().warn("config: the log cannot be read: {}", failure.message)
        isLogReachable = false
    }

    private fun notifyPeers() {
        val notice = ConfigNotice(store.state.appliedOffset + 1)
        peers.membership.livePeers().filter { it.dataCentre == self.dataCentre }.forEach { peers.async.send(it.id, notice) }
    }

    private fun tick() {
        val nowMs = monotonicMs()
        // While the log is unreachable, the newest configuration among the peers is the one in force.
        val newest = peers.membership.appliedOffsets(nowMs).filter { it.id != self.id }.maxByOrNull { it.offset ?: -1 }
        val isBehind = (newest?.offset ?: -1) > store.state.appliedOffset
        val wasPaused = store.tick(nowMs, if (isBehind) emptyList() else peers.membership.regions(nowMs))
        if (isBehind && newest != null) pullFrom(newest.id)
        if (!wasPaused) return
        log().warn("config: this process was paused; it refuses new work until its configuration is confirmed")
        pauseListeners.forEach { it() }
        pull()
    }

    private fun pull() {
        // The other instances of a data centre pull from its tailers, so a tailer that cannot reach the log asks other data
        // centres sooner.
        val staleMs = if (isTailer() && !isLogReachable) TAILER_STALE_MS else PULL_STALE_MS
        val isStale = store.isStale(monotonicMs(), staleMs)
        val tailers = tailersOf(self.dataCentre, peers.members).filter { it != self.id }
        if (tailers.isNotEmpty() && (!isTailer() || isStale)) pullFrom(tailers[Math.floorMod(nextTailer++, tailers.size)])
        // No member counts as live before the first heartbeats are exchanged, so members are asked whether live or not.
        if (isStale) peers.members.filter { it.id != self.id && it.peerAddress != null }.randomOrNull()?.let { pullFrom(it.id) }
    }

    private fun pullFrom(peer: InstanceId) {
        if (!pendingPulls.add(peer)) return
        val pull = store.pull()
        val askedAtMs = monotonicMs()
        peers.async.ask(peer, pull, PULL_TIMEOUT_MS).thenAccept { answer ->
            control.post {
                pendingPulls.remove(peer)
                val message = answer.get() as? ConfigPullAnswer ?: return@post
                store.applyPeerAnswer(message, pull.fromOffset, askedAtMs)
            }
        }
    }

    private fun writeSnapshotIfDue() {
        val state = store.state
        if (!isTailer() || freshness() != Freshness.Current || !store.mustWriteSnapshot(wallMs(), logRetentionMs)) return
        if (!isWritingSnapshot.compareAndSet(false, true)) return
        writer.execute {
            try {
                val record = encodeConfigRecord(ConfigRecord.Snapshot(state.toSnapshot()))
                log.append(CONFIG_STREAM, record, APPEND_TIMEOUT_MS).fold(
                    {
                        log().info(
                            "config: snapshot of offset {} appended at offset {}, {} bytes",
                            state.appliedOffset,
                            it,
                            record.size,
                        )
                    },
                    { log().warn("config: snapshot of offset {} not appended: {}", state.appliedOffset, it.message) },
                )
            } finally {
                isWritingSnapshot.set(false)
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
