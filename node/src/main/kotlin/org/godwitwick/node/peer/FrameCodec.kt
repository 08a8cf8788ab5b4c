package org.godwitwick.node.peer

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor
import java.nio.ByteBuffer
import java.security.MessageDigest
import javax.crypto.Mac
import javax.crypto.spec.SecretKeySpec

/**
 * Encodes and decodes frames, laid out as `header length (2 bytes) | header | body | HMAC-SHA256 of all preceding bytes`. On the
 * wire each frame is preceded by its length in 4 bytes.
 */
@OptIn(ExperimentalSerializationApi::class)
class FrameCodec(secret: ByteArray, private val maxFrameBytes: Int) {
    private val key = SecretKeySpec(secret, MAC_NAME)
    private val macs = ThreadLocal.withInitial { Mac.getInstance(MAC_NAME).apply { init(key) } }

    /** Encodes a frame, or fails with [FrameRefusal.TOO_LARGE] if it would exceed the maximum frame size. */
    fun encode(header: FrameHeader, body: ByteArray): Result<ByteArray, FrameRefusal> {
        val headerBytes = peerCbor.encodeToByteArray(FrameHeader.serializer(), header)
        val signed = HEADER_LENGTH_BYTES + headerBytes.size + body.size
        if (signed + MAC_BYTES > maxFrameBytes) return Err(FrameRefusal.TOO_LARGE)
        val frame = ByteBuffer.allocate(signed + MAC_BYTES).putShort(headerBytes.size.toShort()).put(headerBytes).put(body)
        frame.put(mac(frame.array(), signed))
        return Ok(frame.array())
    }

    /** Verifies and decodes [frame]. The MAC is verified before any part of the frame is parsed. */
    fun decode(frame: ByteArray): Result<PeerFrame, FrameRefusal> {
        val signed = frame.size - MAC_BYTES
        if (signed < HEADER_LENGTH_BYTES) return Err(FrameRefusal.TRUNCATED)
        if (!MessageDigest.isEqual(mac(frame, signed), frame.copyOfRange(signed, frame.size))) return Err(FrameRefusal.WRONG_MAC)
        val bodyStart = HEADER_LENGTH_BYTES + ByteBuffer.wrap(frame).short
        if (bodyStart !in HEADER_LENGTH_BYTES..signed) return Err(FrameRefusal.MALFORMED)
        return try {
            val header = peerCbor.decodeFromByteArray(FrameHeader.serializer(), frame.copyOfRange(HEADER_LENGTH_BYTES, bodyStart))
            Ok(PeerFrame(header, frame.copyOfRange(bodyStart, signed)))
        } catch (_: SerializationException) {
            Err(FrameRefusal.MALFORMED)
        }
    }

    private fun mac(bytes: ByteArray, length: Int): ByteArray = macs.get().run {
        update(bytes, 0, length)
        doFinal()
    }

    private companion object {
        const val MAC_NAME = "HmacSHA256"
        const val MAC_BYTES = 32
        const val HEADER_LENGTH_BYTES = 2
    }
}

/** CBOR format of messages between instances. Unknown fields are ignored, so that newer versions can add fields. */
@OptIn(ExperimentalSerializationApi::class)
val peerCbor = Cbor {
    ignoreUnknownKeys = true
    alwaysUseByteString = true
    preferCborLabelsOverNames = true
}
