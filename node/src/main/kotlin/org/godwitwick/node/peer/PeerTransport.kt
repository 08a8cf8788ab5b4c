package org.godwitwick.node.peer

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import io.ktor.network.selector.SelectorManager
import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.cancel
import kotlinx.serialization.SerializationException
import org.godwitwick.core.model.InstanceId
import org.slf4j.LoggerFactory
import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.Executors
import java.util.concurrent.RejectedExecutionException
import java.util.concurrent.ThreadPoolExecutor
import java.util.concurrent.TimeUnit
import java.util.concurrent.TimeoutException
import java.util.concurrent.atomic.AtomicLong

/** Where a peer is reached and which peers are believed live. Both are read from any thread. */
interface PeerDirectory {
    /** `ip:port` of [id], or null when it isn't known. */
    fun addressOf(id: InstanceId): String?

    /** Peers that are believed live, without this instance. */
    fun livePeers(): List<Peer>
}

/** Who this instance is towards its peers. */
class PeerIdentity(val id: InstanceId, val incarnation: Long, val secret: ByteArray)

/** The peer network over TCP. Handlers run on a small bounded pool and may block for a short time. */
class PeerTransport(
    identity: PeerIdentity,
    private val directory: PeerDirectory,
    private val limits: PeerLimits = PeerLimits(),
    wallMs: () -> Long = System::currentTimeMillis,
    private val monotonicMs: () -> Long = { System.nanoTime() / 1_000_000 },
) : PeerNetwork,
    AsyncPeers,
    AutoCloseable {
    private val gate = FrameGate(identity.id.value, identity.incarnation, codec(identity), limits, wallMs)
    private val io = Executors.newFixedThreadPool(IO_THREADS) { Thread(it, "peer-io").apply { isDaemon = true } }
    private val dispatcher = io.asCoroutineDispatcher()
    private val selector = SelectorManager(dispatcher)
    private val unexpected = CoroutineExceptionHandler { _, e -> log.error("peer: connection failed", e) }
    private val scope = CoroutineScope(SupervisorJob() + dispatcher + unexpected)
    private val handlerPool = ThreadPoolExecutor(
        limits.handlerThreads,
        limits.handlerThreads,
        HANDLER_IDLE_S,
        TimeUnit.SECONDS,
        ArrayBlockingQueue(limits.handlerQueue),
    ) { Thread(it, "peer-handler").apply { isDaemon = true } }.apply { allowCoreThreadTimeOut(true) }
    private val handlers = ConcurrentHashMap<
        Class<out PeerMessage>,
        (
            InstanceId,
            PeerMessage,
        ) -> CompletableFuture<out PeerMessage?>,
        >()
    private val links = ConcurrentHashMap<String, PeerLink>()
    private val correlations = AtomicLong()
    private val server = PeerServer(gate, limits, ::dispatch)

    /** Port on which peers are accepted, after [start]. */
    val port: Int get() = server.port

    /** Frames of peers that were refused. */
    val refusedFrames: Long get() = server.refused.get()

    /** Bytes that were sent to peers, without those of TCP. */
    val sentBytes: Long get() = gate.sentBytes.get()

    /** Accepts peers on [host] and [port]; port 0 takes a free one. */
    fun start(host: String, port: Int) {
        server.start(scope, selector, host, port)
    }

    override fun livePeers(): List<Peer> = directory.livePeers()

    override fun send(to: InstanceId, message: PeerMessage) {
        offer(to, OutFrame(FrameKind.SEND, 0, encodeMessage(message)))
    }

    override fun request(to: InstanceId, message: PeerMessage, timeoutMs: Long): Result<PeerMessage, PeerFailure> {
        val frame = OutFrame(FrameKind.REQUEST, correlations.incrementAndGet(), encodeMessage(message))
        offer(to, frame)
        return try {
            decoded(frame.answer.get(timeoutMs, TimeUnit.MILLISECONDS))
        } catch (_: TimeoutException) {
            frame.fail("no answer from $to within $timeoutMs ms")
            decoded(frame.answer.join())
        }
    }

    override fun ask(to: InstanceId, message: PeerMessage, timeoutMs: Long): CompletableFuture<Result<PeerMessage, PeerFailure>> {
        val frame = OutFrame(FrameKind.REQUEST, correlations.incrementAndGet(), encodeMessage(message))
        offer(to, frame)
        CompletableFuture.delayedExecutor(timeoutMs, TimeUnit.MILLISECONDS, io).execute {
            frame.fail("no answer from $to within $timeoutMs ms")
        }
        return frame.answer.thenApply(::decoded)
    }

    override fun <M : PeerMessage> handleLater(
        type: Class<M>,
        handler: (from: InstanceId, message: M) -> CompletableFuture<out PeerMessage?>,
    ) {
        handlers[type] = { from, message -> handler(from, type.cast(message)) }
    }

    override fun close() {
        server.close()
        scope.cancel()
        selector.close()
        handlerPool.shutdownNow()
        io.shutdown()
    }

    private fun offer(to: InstanceId, frame: OutFrame) {
        val address = directory.addressOf(to)
        if (address == null) {
            frame.fail("no address of $to")
            return
        }
        if (!linkTo(to.value, address).offer(frame)) frame.fail("queue to $to is full")
    }

    private fun linkTo(to: String, address: String): PeerLink = links.computeIfAbsent(to) {
        PeerLink(to, address, gate, limits, monotonicMs, ::ended).also { it.start(scope, selector) }
    }

    private fun ended(link: PeerLink, reason: String) {
        links.values.remove(link)
        log.debug("peer: connection ended: {}", reason)
    }

    private fun dispatch(frame: PeerFrame, answer: (ByteArray?) -> Unit) {
        try {
            handlerPool.execute { handled(frame).thenAccept { answer(it?.let(::encodeMessage)) } }
        } catch (_: RejectedExecutionException) {
            answer(null)
        }
    }

    private fun handled(frame: PeerFrame): CompletableFuture<out PeerMessage?> = try {
        val message = peerCbor.decodeFromByteArray(PeerMessage.serializer(), frame.body)
        handlers[message.javaClass]?.invoke(InstanceId(frame.header.from), message) ?: NO_MESSAGE
    } catch (e: SerializationException) {
        // A newer version may send messages that this one doesn't know.
        log.warn("peer: message from {} not understood: {}", frame.header.from, e.message)
        NO_MESSAGE
    } catch (e: RejectedExecutionException) {
        log.debug("peer: message from {} not handled, this instance stops: {}", frame.header.from, e.message)
        NO_MESSAGE
    } catch (e: RuntimeException) {
        log.error("peer: handler failed for a message from {}", frame.header.from, e)
        NO_MESSAGE
    }

    private fun encodeMessage(message: PeerMessage) = peerCbor.encodeToByteArray(PeerMessage.serializer(), message)

    private fun decoded(answer: Result<ByteArray, PeerFailure>): Result<PeerMessage, PeerFailure> = answer.fold(
        { body ->
            if (body.isEmpty()) return Err(PeerFailure.NoAnswer("the peer has no answer"))
            try {
                Ok(peerCbor.decodeFromByteArray(PeerMessage.serializer(), body))
            } catch (e: SerializationException) {
                Err(PeerFailure.NoAnswer("answer not understood: ${e.message}"))
            }
        },
        { Err(it) },
    )

    private fun codec(identity: PeerIdentity) = FrameCodec(identity.secret, limits.maxFrameBytes)

    private companion object {
        val log = LoggerFactory.getLogger(PeerTransport::class.java)
        const val IO_THREADS = 3
        const val HANDLER_IDLE_S = 30L
        val NO_MESSAGE: CompletableFuture<PeerMessage?> = CompletableFuture.completedFuture(null)
    }
}
