package org.godwitwick.node.peer

import com.github.michaelbull.result.get
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.Connection
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.connection
import io.ktor.network.sockets.isClosed
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.slf4j.LoggerFactory
import java.io.IOException
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong

/** Accepts connections of peers and passes verified messages to [handle], whose `answer` callback sends the answer. */
internal class PeerServer(
    private val protocol: FrameProtocol,
    private val limits: PeerLimits,
    private val unknownFormats: UnknownFormatLog,
    private val handle: (PeerFrame, answer: (ByteArray?) -> Unit) -> Unit,
) {
    private class Reply(val to: String, val kind: FrameKind, val correlation: Long, val body: ByteArray)

    private val openConnections = AtomicInteger()
    private lateinit var socket: ServerSocket

    /** Number of frames refused since the start. */
    val refusedFrames = AtomicLong()

    /** Port on which peer connections are accepted. */
    val port: Int get() = (socket.localAddress as InetSocketAddress).port

    fun start(scope: CoroutineScope, selector: SelectorManager, host: String, port: Int) {
        socket = runBlocking { aSocket(selector).tcp().bind(host, port) { reuseAddress = true } }
        scope.launch {
            while (true) {
                val accepted = try {
                    socket.accept()
                } catch (e: IOException) {
                    if (socket.isClosed) return@launch
                    // accept() may fail temporarily, for example when the process has no free file descriptors.
                    log.warn("peer: failed to accept a connection: {}", e.message)
                    delay(ACCEPT_RETRY_MS)
                    continue
                }
                if (openConnections.incrementAndGet() > limits.maxConnections) {
                    openConnections.decrementAndGet()
                    accepted.close()
                    continue
                }
                // Each connection has its own coroutine in the scope, so that its failure does not end the accept loop.
                scope.launch { serve(accepted.connection()) }.invokeOnCompletion { openConnections.decrementAndGet() }
            }
        }
    }

    fun close() {
        if (::socket.isInitialized) socket.close()
    }

    private suspend fun serve(connection: Connection) {
        val address = addressOf(connection)
        val replies = boundedQueue<Reply>(limits)
        try {
            connection.socket.use {
                coroutineScope {
                    val writer = launch { writeReplies(connection, replies) }
                    try {
                        while (true) onFrame(withTimeout(limits.idleMs) { protocol.read(connection) }, replies)
                    } finally {
                        writer.cancel()
                    }
                }
            }
        } catch (e: FrameRefusedException) {
            refusedFrames.incrementAndGet()
            log.warn("peer: frame from {} refused: {}", address, e.refusal)
        } catch (e: CancellationException) {
            log.debug("peer: connection closed: {}", e.message)
        } catch (e: IOException) {
            log.debug("peer: connection ended: {}", e.message)
        } catch (e: RuntimeException) {
            log.debug("peer: connection failed: {}", e.message)
        }
    }

    // Called before the first read, because a closed socket has no address. The peer may have closed it even before that.
    private fun addressOf(connection: Connection): String = try {
        connection.socket.remoteAddress.toString()
    } catch (_: IOException) {
        "a closed connection"
    }

    private fun onFrame(frame: PeerFrame, replies: Channel<Reply>) {
        val header = frame.header
        when (header.kind) {
            FrameKind.PING -> replies.trySend(Reply(header.from, FrameKind.PONG, header.correlation, EMPTY_BODY))

            FrameKind.SEND -> handle(frame) { }

            FrameKind.REQUEST -> handle(frame) { body ->
                val kind = if (body == null) FrameKind.NO_ANSWER else FrameKind.ANSWER
                replies.trySend(Reply(header.from, kind, header.correlation, body ?: EMPTY_BODY))
            }

            FrameKind.ANSWER, FrameKind.NO_ANSWER, FrameKind.PONG -> throw FrameRefusedException(FrameRefusal.MALFORMED)

            else -> unknownFormats.report(header.from, "frame ${header.kind.name}")
        }
    }

    private suspend fun writeReplies(connection: Connection, replies: Channel<Reply>) {
        for (reply in replies) {
            val frame = protocol.encode(reply.to, reply.kind, reply.correlation, reply.body).get()
                ?: protocol.encode(reply.to, FrameKind.NO_ANSWER, reply.correlation, EMPTY_BODY).get()
                ?: continue
            connection.writeFrame(frame)
        }
    }

    private companion object {
        val log = LoggerFactory.getLogger(PeerServer::class.java)
        const val ACCEPT_RETRY_MS = 100L
    }
}
