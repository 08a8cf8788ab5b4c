package org.godwitwick.node.peer

import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.encoding.Decoder

/**
 * A message between entry instances, encoded as CBOR. Each subsystem declares its messages in a separate file of this package.
 */
@Serializable
sealed interface PeerMessage

/** Returns the type of the encoded message [body], which this version need not know, or "?" if it has none. */
@OptIn(ExperimentalSerializationApi::class)
internal fun messageTypeOf(body: ByteArray): String {
    val reader = MessageTypeReader()
    try {
        peerCbor.decodeFromByteArray(reader, body)
    } catch (_: SerializationException) {
        // The decoder reports the rest of the message, which is left unread.
    }
    return reader.type
}

/** Reads the first element of a message, which is its [type]. */
private class MessageTypeReader : DeserializationStrategy<Unit> {
    var type = "?"
        private set

    override val descriptor: SerialDescriptor = PeerMessage.serializer().descriptor

    override fun deserialize(decoder: Decoder) = decoder.beginStructure(descriptor).run {
        decodeElementIndex(descriptor)
        type = decodeStringElement(descriptor, 0)
    }
}
