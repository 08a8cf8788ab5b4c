package org.godwitwick.node.peer

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel
import org.godwitwick.core.forward.UpstreamWork
import org.godwitwick.core.model.InstanceId

/** Whose work a [ForwardLoad] tells. */
@Serializable
enum class LoadScope {
    /** The sender's own. */
    @SerialName("i")
    INSTANCE,

    /** That of all instances of one data centre, told by its collector. */
    @SerialName("d")
    DATA_CENTRE,

    /** That of all instances but the receiver, told by its collector. */
    @SerialName("f")
    FLEET,
}

/**
 * The sender's work at each upstream, or the sum of several instances'. The lists run in parallel; an upstream is named by the hash of
 * its id.
 *
 * @property sentAtMs time of writing on the sender's clock, which orders the messages of one sender.
 * @property instances instances whose work is told.
 * @property scope whose work it is.
 * @property dataCentre the data centre whose work is told, or empty.
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@SerialName("fl")
class ForwardLoad(
    @CborLabel(1) val sentAtMs: Long,
    @CborLabel(2) val upstreams: List<Int>,
    @CborLabel(3) val pendingReadMs: List<Int>,
    @CborLabel(4) val running: List<Int>,
    @CborLabel(5) val shortStreams: List<Int>,
    @CborLabel(6) val helping: List<Int>,
    @CborLabel(7) val heldKiloTokens: List<Int>,
    @CborLabel(8) val instances: Int = 1,
    @CborLabel(9) val scope: LoadScope = LoadScope.INSTANCE,
    @CborLabel(10) val dataCentre: String = "",
) : PeerMessage {
    /** Whether the sender wrote this message after [other]. A restart of the sender may set its clock back by seconds only. */
    fun isNewerThan(other: ForwardLoad): Boolean = sentAtMs > other.sentAtMs && sentAtMs - other.sentAtMs < MAX_DISORDER_MS

    /** The work by [keyOf] of the upstream; empty when the lists differ in length. */
    fun byUpstream(): Map<Int, UpstreamWork> {
        val columns = listOf(pendingReadMs, running, shortStreams, helping, heldKiloTokens)
        if (columns.any { it.size != upstreams.size }) return emptyMap()
        return upstreams.indices.associate { i ->
            upstreams[i] to
                UpstreamWork(pendingReadMs[i].toDouble(), running[i], shortStreams[i], helping[i], heldKiloTokens[i] * KILO)
        }
    }

    companion object {
        private const val KILO = 1_000L

        /** Messages overtake each other by less than this. */
        private const val MAX_DISORDER_MS = 1_000L

        /** The name of an upstream in these messages. */
        fun keyOf(id: InstanceId): Int = id.value.hashCode()

        /** The message that tells [work], by [keyOf] of the upstream, at [nowMs]. */
        fun of(
            work: Map<Int, UpstreamWork>,
            nowMs: Long,
            instances: Int = 1,
            scope: LoadScope = LoadScope.INSTANCE,
            dataCentre: String = "",
        ): ForwardLoad {
            val rows = work.entries.filter { it.value != UpstreamWork() }
            return ForwardLoad(
                nowMs,
                rows.map { it.key },
                rows.map { it.value.pendingPrefillMs.toInt() },
                rows.map { it.value.running },
                rows.map { it.value.shortStreams },
                rows.map { it.value.helping },
                rows.map { (it.value.heldTokens / KILO).toInt() },
                instances,
                scope,
                dataCentre,
            )
        }
    }
}
