package org.godwitwick.node.peer

import ch.qos.logback.classic.Logger
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.read.ListAppender
import com.github.michaelbull.result.get
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel
import org.godwitwick.core.model.InstanceId
import org.godwitwick.node.await
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.Test
import org.slf4j.LoggerFactory
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import java.io.DataInputStream
import java.io.DataOutputStream
import java.net.InetAddress
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicLong

/** Frames and messages of a later version, which this one receives during an upgrade. */
@OptIn(ExperimentalSerializationApi::class)
class LaterFrameTest {
    private val skippedMs = AtomicLong()
    private val received = CopyOnWriteArrayList<Any>()
    private val codec = FrameCodec("secret".toByteArray(), 10_000)
    private val events = ListAppender<ILoggingEvent>()
    private val logger = LoggerFactory.getLogger("org.godwitwick.node.peer") as Logger
    private val nobody = object : PeerDirectory {
        override fun addressOf(id: InstanceId): String? = null

        override fun livePeers() = emptyList<Peer>()
    }
    private val transport = PeerTransport(
        PeerIdentity(InstanceId("b"), 1, "secret".toByteArray()),
        nobody,
        monotonicMs = { System.nanoTime() / 1_000_000 + skippedMs.get() },
    )
    private val socket: Socket by lazy { Socket(InetAddress.getLoopbackAddress(), transport.port).apply { soTimeout = 20_000 } }
    private var sequence = 0L

    @BeforeEach
    fun start() {
        events.start()
        logger.addAppender(events)
        transport.handle(MembersPull::class.java) { _, pull -> null.also { received += pull } }
        transport.handle(ForwardLoad::class.java) { _, load -> null.also { received += load } }
        transport.start("127.0.0.1", 0)
    }

    @AfterEach
    fun close() {
        socket.close()
        transport.close()
        logger.detachAppender(events)
    }

    /** The header of a frame whose kind this version lacks, and with a further field. */
    @Serializable
    private class LaterHeader(
        @CborLabel(1) val from: String,
        @CborLabel(2) val to: String,
        @CborLabel(3) val incarnation: Long,
        @CborLabel(4) val sequence: Long,
        @CborLabel(5) val timeMs: Long,
        @CborLabel(6) val kind: String,
        @CborLabel(7) val correlation: Long,
        @CborLabel(8) val later: List<String>,
    )

    /** A sealed type as [PeerMessage] of a later version is. */
    @Serializable
    private sealed interface LaterMessage {
        @Serializable
        @SerialName("zz")
        class Unknown(@CborLabel(1) val number: Long) : LaterMessage

        @Serializable
        @SerialName("mp")
        class Pull(@CborLabel(1) val generation: Long, @CborLabel(2) val era: Long, @CborLabel(3) val later: List<String>) :
            LaterMessage

        @Serializable
        @SerialName("fl")
        class Load(@CborLabel(1) val sentAtMs: Long, @CborLabel(9) val scope: String) : LaterMessage
    }

    private fun send(kind: String, body: ByteArray, from: String = "a") {
        val header = LaterHeader(from, "b", 1, sequence++, System.currentTimeMillis(), kind, 7, listOf("later"))
        val headerBytes = peerCbor.encodeToByteArray(LaterHeader.serializer(), header)
        val signed = byteArrayOf(0, headerBytes.size.toByte()) + headerBytes + body
        val mac = javax.crypto.Mac.getInstance("HmacSHA256").run {
            init(javax.crypto.spec.SecretKeySpec("secret".toByteArray(), "HmacSHA256"))
            doFinal(signed)
        }
        DataOutputStream(socket.getOutputStream()).apply {
            writeInt(signed.size + mac.size)
            write(signed + mac)
            flush()
        }
    }

    private fun encode(message: LaterMessage) = peerCbor.encodeToByteArray(LaterMessage.serializer(), message)

    private fun answerKind(): FrameKind {
        val input = DataInputStream(socket.getInputStream())
        return checkNotNull(codec.decode(ByteArray(input.readInt()).also(input::readFully)).get()).header.kind
    }

    private fun lines(word: String) = events.list.toList().map { it.formattedMessage }.filter { word in it }

    @Test
    fun `a message with a further field is handled`() {
        send("SEND", encode(LaterMessage.Pull(7, 3, listOf("later"))))
        await("the message is handled") { received.isNotEmpty() }
        expectThat((received.single() as MembersPull).era).isEqualTo(3)
    }

    // Guards against the loss of a connection, with all that waits on it, because of one frame of a later version.
    @Test
    fun `a frame of an unknown kind is ignored and the connection stays`() {
        send("LATER", "body".toByteArray())
        send("PING", EMPTY_BODY)
        expectThat(answerKind()).isEqualTo(FrameKind.PONG)
        expectThat(transport.refusedFrames).isEqualTo(0)
        expectThat(lines("LATER")).hasSize(1)
    }

    // Guards against a log that fills because each message of a later version is reported.
    @Test
    fun `messages of an unknown type are reported once a minute for each peer with the type's name`() {
        repeat(3) { send("SEND", encode(LaterMessage.Unknown(1))) }
        send("REQUEST", encode(LaterMessage.Unknown(1)))
        expectThat(answerKind()).isEqualTo(FrameKind.NO_ANSWER)
        await("the messages are reported") { lines("from a").isNotEmpty() }
        expectThat(lines("from a")).hasSize(1)
        expectThat(lines("from a").single()).contains("zz")
        send("REQUEST", encode(LaterMessage.Unknown(1)), from = "c")
        answerKind()
        expectThat(lines("from c")).hasSize(1)
        skippedMs.addAndGet(60_000)
        send("REQUEST", encode(LaterMessage.Unknown(1)))
        answerKind()
        expectThat(lines("from a")).hasSize(2)
    }

    @Test
    fun `a message with an unknown value of a known field is ignored and reported with the type's name`() {
        send("REQUEST", encode(LaterMessage.Load(1_000, "later")))
        expectThat(answerKind()).isEqualTo(FrameKind.NO_ANSWER)
        expectThat(received).hasSize(0)
        expectThat(lines("from a").single()).contains("fl")
    }
}
