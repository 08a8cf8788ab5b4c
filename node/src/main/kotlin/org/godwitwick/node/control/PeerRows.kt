package org.godwitwick.node.control

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.KSerializer
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.cbor.CborArray
import org.godwitwick.core.model.InstanceId

/**
 * One kind of row that instances exchange. Each instance has one current row per kind, and a newer row replaces it. All functions
 * are called on the control thread.
 */
interface PeerRows {
    /** Name of the kind, unique among all kinds. */
    val kind: String

    /** Encodes this instance's current row at [nowMs]. */
    fun encode(nowMs: Long): ByteArray

    /** Applies the current [row] of the instance [from], received at [nowMs]. A row that cannot be decoded is ignored. */
    fun accept(from: InstanceId, row: ByteArray, nowMs: Long)
}

/**
 * Work that an instance sent to replicas between [fromMs] and [toMs]. The lists are parallel, with one element per replica and
 * prompt class.
 *
 * @property classes ordinals of the prompt classes.
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

/**
 * Work that an instance sent recently. Each interval is repeated in the next few rows, so that the loss of one row loses no work.
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@CborArray
class SentRow(val intervals: List<SentInterval>)

/** Demand of an instance; [organisations] and [workPerSecond] are parallel lists. */
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

/** Encodes rows as compact CBOR. */
@OptIn(ExperimentalSerializationApi::class)
object RowCodec {
    private val cbor = Cbor {
        useDefiniteLengthEncoding = true
        ignoreUnknownKeys = true
    }

    fun <T> encode(serializer: KSerializer<T>, row: T): ByteArray = cbor.encodeToByteArray(serializer, row)

    /** Returns the row decoded from [bytes], or null if they are malformed. */
    fun <T> decode(serializer: KSerializer<T>, bytes: ByteArray): T? = try {
        cbor.decodeFromByteArray(serializer, bytes)
    } catch (_: IllegalArgumentException) {
        null
    } catch (_: IndexOutOfBoundsException) {
        null
    }
}
