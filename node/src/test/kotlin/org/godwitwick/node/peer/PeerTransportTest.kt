package org.godwitwick.node.peer

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import org.godwitwick.core.model.InstanceId
import org.godwitwick.node.await
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import java.io.DataOutputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.CountDownLatch
import java.util.concurrent.atomic.AtomicLong
import kotlin.concurrent.thread

class PeerTransportTest {
    private val opened = CopyOnWriteArrayList<AutoCloseable>()
    private val addresses = ConcurrentHashMap<InstanceId, String>()
    private val limits = PeerLimits(silentMs = 300, pingMs = 50, queueFrames = 4)

    @AfterEach
    fun closeAll() = opened.forEach { it.close() }

    private val skippedMs = AtomicLong()

    private fun transport(id: String, secret: String = "secret"): PeerTransport {
        val directory = object : PeerDirectory {
            override fun addressOf(id: InstanceId) = addresses[id]

            override fun livePeers() = emptyList<Peer>()
        }
        val transport = PeerTransport(
            PeerIdentity(InstanceId(id), 1, secret.toByteArray()),
            directory,
            limits,
            monotonicMs = { System.nanoTime() / 1_000_000 + skippedMs.get() },
        )
        transport.start("127.0.0.1", 0)
        addresses[InstanceId(id)] = "127.0.0.1:${transport.port}"
        opened.add(transport)
        return transport
    }

    private fun answering(id: String, secret: String = "secret") = transport(id, secret).also { transport ->
        transport.handle(ConfigPull::class.java) { _, pull -> ConfigPullAnswer(pull.fromOffset + 1, emptyList(), null, -1, 0) }
    }

    private fun PeerTransport.pull(to: String, fromOffset: Long, timeoutMs: Long = 20_000) =
        request(InstanceId(to), ConfigPull(fromOffset), timeoutMs)

    // Guards against answers that are matched to a different request on the same connection.
    @Test
    fun `each of many concurrent requests gets its own answer`() {
        val a = transport("a")
        answering("b")
        val answers = ConcurrentHashMap<Long, Long?>()
        List(4) { worker ->
            thread {
                repeat(50) { i ->
                    val asked = worker * 1_000L + i
                    answers[asked] = (a.pull("b", asked).get() as? ConfigPullAnswer)?.nextOffset ?: -1
                }
            }
        }.forEach { it.join() }
        expectThat(answers).isEqualTo(ConcurrentHashMap(answers.keys.associateWith { it + 1 }))
    }

    // Guards against accepting frames from a process without the secret.
    @Test
    fun `a peer with another secret gets no answer`() {
        val b = answering("b")
        val unauthenticated = transport("a", secret = "other")
        expectThat(unauthenticated.pull("b", 1).getError()).isA<PeerFailure.NoAnswer>()
        await("a refusal") { b.refusedFrames == 1L }
    }

    // Guards against replayed frames, and against length prefixes that would exhaust memory or truncate a frame.
    @Test
    fun `replayed, oversized and truncated frames on the wire are refused and the instance goes on serving`() {
        val b = answering("b")
        val codec = FrameCodec("secret".toByteArray(), limits.maxFrameBytes)
        val header = FrameHeader("a", "b", 1, 999, System.currentTimeMillis(), FrameKind.PING, 0)
        val frame = checkNotNull(codec.encode(header, EMPTY_BODY).get())
        send(b, frame.size, frame, expectAnswer = true)
        send(b, frame.size, frame, expectAnswer = false)
        send(b, limits.maxFrameBytes + 1, frame, expectAnswer = false)
        send(b, -1, frame, expectAnswer = false)
        send(b, frame.size - 3, frame, expectAnswer = false)
        await("four refusals") { b.refusedFrames == 4L }
        expectThat((transport("c").pull("b", 1).get() as ConfigPullAnswer).nextOffset).isEqualTo(2)
    }

    private fun send(to: PeerTransport, length: Int, frame: ByteArray, expectAnswer: Boolean) {
        Socket(InetAddress.getLoopbackAddress(), to.port).use { socket ->
            DataOutputStream(socket.getOutputStream()).apply {
                writeInt(length)
                write(frame)
                flush()
            }
            socket.soTimeout = 20_000
            expectThat(socket.getInputStream().read() >= 0).isEqualTo(expectAnswer)
        }
    }

    // Guards against using an open connection indefinitely after it has stopped delivering data.
    @Test
    fun `a silent connection is closed and a new one works`() {
        val a = transport("a")
        val b = answering("b")
        val proxy = SilentFirstProxy(b.port).also(opened::add)
        addresses[InstanceId("b")] = "127.0.0.1:${proxy.port}"
        expectThat(a.pull("b", 1).getError()).isA<PeerFailure.NoAnswer>().get { message.contains("silent") }.isEqualTo(true)
        expectThat((a.pull("b", 2).get() as ConfigPullAnswer).nextOffset).isEqualTo(3)
        expectThat(proxy.connections).isEqualTo(2)
    }

    // Guards against unbounded memory use for an unreachable peer, and against reporting a written frame as not sent.
    @Test
    fun `an unreachable peer costs a bounded queue and its requests are known as not sent`() {
        val a = transport("a")
        addresses[InstanceId("b")] = "127.0.0.1:1"
        expectThat(a.pull("b", 1).getError()).isA<PeerFailure.NotSent>()
        expectThat(a.pull("unknown", 1).getError()).isA<PeerFailure.NotSent>()
    }

    // Guards against treating the connection of a slow handler as silent.
    @Test
    fun `a handler slower than the silence bound still answers`() {
        val a = transport("a")
        val release = CountDownLatch(1)
        val b = transport("b").also {
            it.handle(ConfigPull::class.java) { _, _ ->
                release.await()
                ConfigPullAnswer(9, emptyList(), null, -1, 0)
            }
        }
        val startNs = System.nanoTime()
        val answer = a.ask(InstanceId("b"), ConfigPull(0), 20_000)
        await("three silence bounds") { System.nanoTime() - startNs > 3 * limits.silentMs * 1_000_000 }
        release.countDown()
        expectThat((answer.get().get() as ConfigPullAnswer).nextOffset).isEqualTo(9)
        expectThat(b.port).isGreaterThan(0)
    }

    // Guards against closing a healthy connection, and losing all its pending answers, after a pause of this process. `each of
    // many concurrent requests gets its own answer` failed in this way while three builds ran on the machine: four requests got
    // no answer at the same time.
    @Test
    fun `a pause of this process is not taken for the peer's silence`() {
        val a = transport("a")
        val release = CountDownLatch(1)
        transport("b").handle(ConfigPull::class.java) { _, _ ->
            release.await()
            ConfigPullAnswer(9, emptyList(), null, -1, 0)
        }
        val answer = a.ask(InstanceId("b"), ConfigPull(0), 20_000)
        val startNs = System.nanoTime()
        // Each jump of the clock stands for a pause of the process; pings are answered between the jumps.
        repeat(5) {
            skippedMs.addAndGet(10 * limits.silentMs)
            val untilNs = startNs + (it + 1) * limits.silentMs * 1_000_000
            await("a silence bound") { System.nanoTime() > untilNs }
        }
        release.countDown()
        expectThat((answer.get().get() as? ConfigPullAnswer)?.nextOffset).isEqualTo(9)
    }

    /** Proxy whose first connection is never read or answered; later connections are forwarded to the port [target]. */
    private class SilentFirstProxy(private val target: Int) : AutoCloseable {
        private val server = ServerSocket(0, 50, InetAddress.getLoopbackAddress())
        val port: Int get() = server.localPort

        @Volatile
        var connections = 0

        init {
            thread(isDaemon = true) {
                while (!server.isClosed) {
                    val accepted = runCatching { server.accept() }.getOrNull() ?: break
                    connections++
                    if (connections == 1) continue
                    val onward = Socket(InetAddress.getLoopbackAddress(), target)
                    pipe(accepted, onward)
                    pipe(onward, accepted)
                }
            }
        }

        private fun pipe(from: Socket, to: Socket) = thread(isDaemon = true) {
            runCatching { from.getInputStream().transferTo(to.getOutputStream()) }
        }

        override fun close() = server.close()
    }
}
