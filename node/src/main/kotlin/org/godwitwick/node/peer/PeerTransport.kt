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

/** Addresses of peers, and the peers that are believed to be live. Both functions may be called from any thread. */
interface PeerDirectory {
    /** `ip:port` of [id], or null if it is unknown. */
    fun addressOf(id: InstanceId): String?

    /** Peers that are believed to be live, without this instance. */
    fun livePeers(): List<Peer>
}

/** Identity of this instance towards its peers, with the [secret] shared by all instances. */
class PeerIdentity(val id: InstanceId, val incarnation: Long, val secret: ByteArray)

/** [PeerNetwork] over TCP. Handlers run on a small bounded thread pool and may block for a short time. */
class PeerTransport(
    identity: PeerIdentity,
    private val directory: PeerDirectory,
    private val limits: PeerLimits = PeerLimits(),
    wallMs: () -> Long = System::currentTimeMillis,
    private val monotonicMs: () -> Long = { System.nanoTime() / 1_000_000 },
) : PeerNetwork,
    AsyncPeers,
    AutoCloseable {
    private val protocol = FrameProtocol(identity.id.value, identity.incarnation, codec(identity), limits, wallMs)
    private val io = Executors.newFixedThreadPool(IO_THREADS) { Thread(it, "peer-io").apply { isDaemon = true } }
    private val dispatcher = io.asCoroutineDispatcher()
    private val selector = SelectorManager(dispatcher)
    private val exceptionHandler = CoroutineExceptionHandler { _, e -> log.error("peer: connection failed", e) }
    private val scope = CoroutineScope(SupervisorJob() + dispatcher + exceptionHandler)
    private val handlerPool = ThreadPoolExecutor(
        limits.handlerThreads,
        limits.handlerThreads,
        HANDLER_IDLE_SECONDS,
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
    private val unknownFormats = UnknownFormatLog(monotonicMs)
    private val server = PeerServer(protocol, limits, unknownFormats, ::dispatch)

    /** Port on which peer connections are accepted. Available after [start]. */
    val port: Int get() = server.port

    /** Number of received frames that were refused. */
    val refusedFrames: Long get() = server.refusedFrames.get()

    /** Bytes sent to peers, without the TCP and IP headers. */
    val sentBytes: Long get() = protocol.sentBytes.get()

    /** Starts accepting peer connections on [host] and [port]; port 0 selects a free port. */
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
            decodeAnswer(frame.answer.get(timeoutMs, TimeUnit.MILLISECONDS))
        } catch (_: TimeoutException) {
            frame.fail("no answer from $to within $timeoutMs ms")
            decodeAnswer(frame.answer.join())
        }
    }

    override fun ask(to: InstanceId, message: PeerMessage, timeoutMs: Long): CompletableFuture<Result<PeerMessage, PeerFailure>> {
        val frame = OutFrame(FrameKind.REQUEST, correlations.incrementAndGet(), encodeMessage(message))
        offer(to, frame)
        CompletableFuture.delayedExecutor(timeoutMs, TimeUnit.MILLISECONDS, io).execute {
            frame.fail("no answer from $to within $timeoutMs ms")
        }
        return frame.answer.thenApply(::decodeAnswer)
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
            frame.fail("no address known for peer $to")
            return
        }
        if (!linkTo(to.value, address).offer(frame)) frame.fail("frame queue to peer $to is full or its connection has ended")
    }

    private fun linkTo(to: String, address: String): PeerLink = links.computeIfAbsent(to) {
        PeerLink(to, address, protocol, limits, monotonicMs, ::onLinkEnded).also { it.start(scope, selector) }
    }

    private fun onLinkEnded(link: PeerLink, reason: String) {
        links.values.remove(link)
        log.debug("peer: connection ended: {}", reason)
    }

    private fun dispatch(frame: PeerFrame, answer: (ByteArray?) -> Unit) {
        try {
            handlerPool.execute { handleFrame(frame).thenAccept { answer(it?.let(::encodeMessage)) } }
        } catch (_: RejectedExecutionException) {
            answer(null)
        }
    }

    private fun handleFrame(frame: PeerFrame): CompletableFuture<out PeerMessage?> = try {
        val message = peerCbor.decodeFromByteArray(PeerMessage.serializer(), frame.body)
        handlers[message.javaClass]?.invoke(InstanceId(frame.header.from), message) ?: NO_MESSAGE
    } catch (e: SerializationException) {
        // A peer with a newer version may send message types that this version lacks.
        log.debug("peer: failed to decode a message from {}", frame.header.from, e)
        unknownFormats.report(frame.header.from, "message ${messageTypeOf(frame.body)}")
        NO_MESSAGE
    } catch (e: RejectedExecutionException) {
        log.debug("peer: message from {} not handled because this instance is stopping: {}", frame.header.from, e.message)
        NO_MESSAGE
    } catch (e: RuntimeException) {
        log.error("peer: handler failed for a message from {}", frame.header.from, e)
        NO_MESSAGE
    }

    private fun encodeMessage(message: PeerMessage) = peerCbor.encodeToByteArray(PeerMessage.serializer(), message)

    private fun decodeAnswer(answer: Result<ByteArray, PeerFailure>): Result<PeerMessage, PeerFailure> = answer.fold(
        { body ->
            if (body.isEmpty()) return Err(PeerFailure.NoAnswer("the peer replied that it has no answer"))
            try {
                Ok(peerCbor.decodeFromByteArray(PeerMessage.serializer(), body))
            } catch (e: SerializationException) {
                Err(PeerFailure.NoAnswer("failed to decode the peer's answer: ${e.message}"))
            }
        },
        { Err(it) },
    )

    private fun codec(identity: PeerIdentity) = FrameCodec(identity.secret, limits.maxFrameBytes)

    private companion object {
        val log = LoggerFactory.getLogger(PeerTransport::class.java)
        const val IO_THREADS = 3
        const val HANDLER_IDLE_SECONDS = 30L
        val NO_MESSAGE: CompletableFuture<PeerMessage?> = CompletableFuture.completedFuture(null)
    }
}
