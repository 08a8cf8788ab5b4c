package org.godwitwick.node.control

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.KSerializer
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.cbor.CborArray
import org.godwitwick.core.model.InstanceId

/**
 * One kind of row that instances exchange. Each instance has one present row of a kind; a newer one replaces it. Called on the
 * control thread.
 */
interface PeerRows {
    /** Name of the kind, unique among all kinds. */
    val kind: String

    /** Encodes this instance's present row. */
    fun encode(nowMs: Long): ByteArray

    /** Takes the present [row] of [from]. A row that can't be decoded changes nothing. */
    fun accept(from: InstanceId, row: ByteArray, nowMs: Long)
}

/**
 * Work that an instance sent to replicas between [fromMs] and [toMs]; the lists run in parallel.
 *
 * @property classes ordinal of the prompt class.
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@CborArray
class SentInterval(
    val fromMs: Long,
    val toMs: Long,
    val replicas: List<String>,
    val classes: List<Int>,
    val prefillTokens: List<Long>,
    val kvTokens: List<Long>,
    val requests: List<Int>,
)

/** Work that an instance sent lately, in intervals; an interval that is lost is repeated in the next rows. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@CborArray
class SentRow(val intervals: List<SentInterval>)

/** Demand row; the lists run in parallel. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@CborArray
class DemandRow(
    val atMs: Long,
    val countedInstances: Int,
    val totalPerSecond: Long,
    val longReads: Int,
    val dataCentre: String,
    val organisations: List<String>,
    val workPerSecond: List<Long>,
)

/** Compact encoding of rows. */
@OptIn(ExperimentalSerializationApi::class)
object RowCodec {
    private val cbor = Cbor {
        useDefiniteLengthEncoding = true
        ignoreUnknownKeys = true
    }

    /** Encodes [row]. */
    fun <T> encode(serializer: KSerializer<T>, row: T): ByteArray = cbor.encodeToByteArray(serializer, row)

    /** Decodes [bytes], or null when they are malformed. */
    fun <T> decode(serializer: KSerializer<T>, bytes: ByteArray): T? = try {
        cbor.decodeFromByteArray(serializer, bytes)
    } catch (_: IllegalArgumentException) {
        null
    } catch (_: IndexOutOfBoundsException) {
        null
    }
}
