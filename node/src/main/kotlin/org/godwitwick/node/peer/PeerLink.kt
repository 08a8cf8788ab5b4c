package org.godwitwick.node.peer

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.Connection
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.connection
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeout
import java.io.IOException
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger

/** An outgoing frame. It is either written or withdrawn, never both. */
internal class OutFrame(val kind: FrameKind, val correlation: Long, val body: ByteArray) {
    /** Body of the answer, or empty if the peer sent none. */
    val answer = CompletableFuture<Result<ByteArray, PeerFailure>>()
    private val state = AtomicInteger(QUEUED)

    fun startWriting(): Boolean = state.compareAndSet(QUEUED, WRITTEN)

    fun withdraw(): Boolean = state.compareAndSet(QUEUED, WITHDRAWN)

    fun fail(reason: String) {
        val failure = if (withdraw() || state.get() == WITHDRAWN) PeerFailure.NotSent(reason) else PeerFailure.NoAnswer(reason)
        answer.complete(Err(failure))
    }

    private companion object {
        const val QUEUED = 0
        const val WRITTEN = 1
        const val WITHDRAWN = 2
    }
}

/**
 * One connection that this instance opens to a peer. It ends at the first error, and its owner opens a new one for the next
 * frame. A TCP connection may stop delivering data without an error, so a connection that leaves a frame unanswered for
 * [PeerLimits.silentMs] is closed.
 */
internal class PeerLink(
    private val to: String,
    private val address: String,
    private val protocol: FrameProtocol,
    private val limits: PeerLimits,
    private val monotonicMs: () -> Long,
    private val onEnd: (PeerLink, String) -> Unit,
) {
    private val queue = boundedQueue<OutFrame>(limits)
    private val pending = ConcurrentHashMap<Long, OutFrame>()

    @Volatile
    private var lastFrameMs = monotonicMs()

    // Start of the period in which a written frame is unanswered and no frame was received, or 0 if nothing is unanswered.
    @Volatile
    private var unansweredSinceMs = 0L

    /** Queues [frame] for writing. Returns false if the queue is full or the connection has ended. */
    fun offer(frame: OutFrame): Boolean = queue.trySend(frame).isSuccess

    fun start(scope: CoroutineScope, selector: SelectorManager): Job = scope.launch {
        val reason = try {
            run(selector)
            "connection ended"
        } catch (e: CancellationException) {
            e.message ?: "cancelled"
        } catch (e: IOException) {
            e.message ?: e.javaClass.simpleName
        } catch (e: RuntimeException) {
            e.message ?: e.javaClass.simpleName
        }
        end(reason)
    }

    private suspend fun run(selector: SelectorManager) {
        val host = address.substringBeforeLast(':')
        val port = address.substringAfterLast(':').toIntOrNull() ?: throw IOException("peer address $address has no port")
        val connection = withTimeout(limits.connectTimeoutMs) { aSocket(selector).tcp().connect(host, port) }.connection()
        connection.socket.use {
            coroutineScope {
                val work = listOf(launch { readAnswers(connection) }, launch { writeQueued(connection) })
                watch()
                work.forEach { it.cancel() }
                connection.socket.close()
            }
        }
    }

    private suspend fun writeQueued(connection: Connection) {
        for (out in queue) {
            val frame = protocol.encode(to, out.kind, out.correlation, out.body).get()
            if (frame == null) {
                out.withdraw()
                out.fail("message exceeds ${limits.maxFrameBytes} bytes")
                continue
            }
            if (out.kind == FrameKind.REQUEST) pending[out.correlation] = out
            if (!out.startWriting()) {
                pending.remove(out.correlation)
                continue
            }
            lastFrameMs = monotonicMs()
            if (unansweredSinceMs == 0L) unansweredSinceMs = lastFrameMs
            connection.writeFrame(frame)
        }
    }

    private suspend fun readAnswers(connection: Connection) {
        while (true) {
            val frame = protocol.read(connection)
            if (frame.header.from != to) throw IOException("expected peer $to at $address, but ${frame.header.from} answered")
            lastFrameMs = monotonicMs()
            if (frame.header.kind == FrameKind.ANSWER || frame.header.kind == FrameKind.NO_ANSWER) {
                pending.remove(frame.header.correlation)?.answer?.complete(Ok(frame.body))
            }
            unansweredSinceMs = if (pending.isEmpty()) 0 else lastFrameMs
        }
    }

    // Throws when the peer has been silent for too long; returns when the connection is idle.
    private suspend fun watch() {
        val silence = SilenceMeter(limits.pingMs, monotonicMs())
        while (true) {
            delay(limits.pingMs)
            val nowMs = monotonicMs()
            pending.values.removeIf { it.answer.isDone }
            val silentMs = silence.tick(unansweredSinceMs, nowMs)
            if (silentMs > limits.silentMs) throw IOException("peer silent for $silentMs ms, limit ${limits.silentMs} ms")
            if (nowMs - lastFrameMs > limits.idleMs / 2) return
            if (unansweredSinceMs != 0L) queue.trySend(OutFrame(FrameKind.PING, 0, EMPTY_BODY))
        }
    }

    private fun end(reason: String) {
        onEnd(this, reason)
        queue.close()
        while (true) (queue.tryReceive().getOrNull() ?: break).fail(reason)
        pending.values.forEach { it.fail(reason) }
    }
}

internal val EMPTY_BODY = ByteArray(0)
