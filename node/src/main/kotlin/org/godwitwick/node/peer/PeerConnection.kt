package org.godwitwick.node.peer

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import com.github.michaelbull.result.onOk
import io.ktor.network.sockets.Connection
import io.ktor.utils.io.readByteArray
import io.ktor.utils.io.readInt
import io.ktor.utils.io.writeByteArray
import io.ktor.utils.io.writeInt
import kotlinx.coroutines.channels.Channel
import org.godwitwick.core.memory.MemoryBudget
import org.godwitwick.node.memory.bodyMemoryBytes
import java.io.IOException
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

/** Encodes and verifies the frames of this instance, and counts the bytes sent. Shared by all connections. */
internal class FrameProtocol(
    val self: String,
    private val incarnation: Long,
    private val codec: FrameCodec,
    private val limits: PeerLimits,
    private val nowMs: () -> Long,
) {
    private val memory = MemoryBudget(maxOf(bodyMemoryBytes(FRAME_MEMORY_FRACTION), MIN_LARGEST_FRAMES * limits.maxFrameBytes))
    private val guard = ReplayGuard(self, limits.maxSkewMs)
    private val sequences = ConcurrentHashMap<String, AtomicLong>()

    /** Bytes of all frames encoded for sending, length prefixes included. */
    val sentBytes = AtomicLong()

    fun encode(to: String, kind: FrameKind, correlation: Long, body: ByteArray): Result<ByteArray, FrameRefusal> {
        val sequence = sequences.computeIfAbsent(to) { AtomicLong() }.getAndIncrement()
        return codec.encode(FrameHeader(self, to, incarnation, sequence, nowMs(), kind, correlation), body)
            .onOk { sentBytes.addAndGet(it.size + Int.SIZE_BYTES.toLong()) }
    }

    /**
     * Reads and verifies one frame.
     *
     * @throws FrameRefusedException if the frame is refused. The caller must close the connection, because nothing after such a
     * frame can be trusted.
     */
    suspend fun read(connection: Connection): PeerFrame {
        val length = connection.input.readInt()
        if (length !in 1..limits.maxFrameBytes) throw FrameRefusedException(FrameRefusal.TOO_LARGE)
        val frame = reserving(length * FRAME_COPIES) {
            val decoded = codec.decode(connection.input.readByteArray(length))
            decoded.get() ?: throw FrameRefusedException(checkNotNull(decoded.component2()))
        }
        guard.refusalOf(frame.header, nowMs())?.let { throw FrameRefusedException(it) }
        return frame
    }

    // Any process can connect and state the length of a frame; only the end of the frame tells whether it is from a peer.
    private inline fun <T> reserving(bytes: Long, read: () -> T): T {
        if (!synchronized(memory) { memory.resize(0, bytes) }) throw FrameRefusedException(FrameRefusal.NO_MEMORY)
        try {
            return read()
        } finally {
            synchronized(memory) { memory.resize(bytes, 0) }
        }
    }

    private companion object {
        /** Fraction of the heap for frames that are being received. */
        const val FRAME_MEMORY_FRACTION = 0.1

        /** Frames of the largest size that can be received at once, whatever the heap. */
        const val MIN_LARGEST_FRAMES = 3L

        /** The received bytes and the body that is cut out of them. */
        const val FRAME_COPIES = 2L
    }
}

/** Thrown when a received frame is refused. */
internal class FrameRefusedException(val refusal: FrameRefusal) : IOException("frame refused: $refusal")

/** Writes [frame], preceded by its length. */
internal suspend fun Connection.writeFrame(frame: ByteArray) {
    output.writeInt(frame.size)
    output.writeByteArray(frame)
    output.flush()
}

/** Creates a frame queue that holds at most [PeerLimits.queueFrames]. */
internal fun <T> boundedQueue(limits: PeerLimits): Channel<T> = Channel(limits.queueFrames)
