package org.godwitwick.node.peer

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel
import org.godwitwick.core.forward.RecentWork
import org.godwitwick.core.forward.StreamLevels
import org.godwitwick.core.forward.UpstreamList
import org.godwitwick.core.forward.UpstreamWork
import org.godwitwick.core.model.InstanceId

/** Set of instances whose work a [ForwardLoad] reports. */
@Serializable
enum class LoadScope {
    /** The sender only. */
    @SerialName("i")
    INSTANCE,

    /** All instances of one data centre, totalled by its collector. */
    @SerialName("d")
    DATA_CENTRE,

    /** All instances of the fleet except the receiver, totalled by the receiver's collector. */
    @SerialName("f")
    FLEET,
}

/**
 * Work of one or several instances at each upstream. The lists are parallel, and [upstreams] contains hashes of upstream ids, see
 * [keyOf].
 *
 * @property sentAtMs time at which the message was created, on the sender's clock; it orders the messages of one sender.
 * @property instances number of instances whose work is included.
 * @property scope the set of instances whose work is included.
 * @property dataCentre the data centre whose work is included, or empty.
 * @property levels streams by level at each upstream, see [StreamLevels.packed]; empty if none of the streams has a stated rank, and in
 *   messages of versions that know no ranks.
 * @property organisations the organisations with the most recent prefill work at services that are contended by rank, see
 *   [RecentWork.keyOf].
 * @property organisationWorkMs the recent work of each of [organisations], in milliseconds.
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
    @CborLabel(11) val levels: List<Long> = emptyList(),
    @CborLabel(13) val organisations: List<Int> = emptyList(),
    @CborLabel(14) val organisationWorkMs: List<Int> = emptyList(),
) : PeerMessage {
    /**
     * Whether the sender created this message after [other], so that [other] was overtaken. A restart of the sender may set its
     * clock back by seconds, so a lead of [MAX_REORDERING_MS] or more is not taken for overtaking.
     */
    fun isNewerThan(other: ForwardLoad): Boolean = sentAtMs > other.sentAtMs && sentAtMs - other.sentAtMs < MAX_REORDERING_MS

    /** Whether this report shows less prefill or fewer requests than the [earlier] one of the same sender. */
    fun showsLessThan(earlier: ForwardLoad): Boolean =
        pendingReadMs.sum() < earlier.pendingReadMs.sum() || running.sum() < earlier.running.sum()

    /** The work at each upstream, keyed by [keyOf]; empty if the lists differ in length. */
    fun byUpstream(): Map<Int, UpstreamWork> {
        val columns = listOf(pendingReadMs, running, shortStreams, helping, heldKiloTokens)
        if (columns.any { it.size != upstreams.size }) return emptyMap()
        val hasLevels = levels.size == upstreams.size
        return upstreams.indices.associate { i ->
            upstreams[i] to UpstreamWork(
                pendingReadMs[i].toDouble(),
                running[i],
                shortStreams[i],
                helping[i],
                heldKiloTokens[i] * KILO,
                if (hasLevels) StreamLevels(levels[i]) else StreamLevels.NONE,
            )
        }
    }

    /** The recent work by organisation, in milliseconds; empty if the lists differ in length. */
    fun recentWork(): Map<Int, Double> {
        if (organisations.size != organisationWorkMs.size) return emptyMap()
        return organisations.indices.associate { organisations[it] to organisationWorkMs[it].coerceAtLeast(0).toDouble() }
    }

    companion object {
        private const val KILO = 1_000L

        /** Upper bound of the time by which messages of one sender overtake each other. */
        private const val MAX_REORDERING_MS = 1_000L

        /** Key that identifies the upstream [id] in these messages. */
        fun keyOf(id: InstanceId): Int = UpstreamList.hashOf(id)

        /**
         * Creates the message that reports [work], keyed by [keyOf] of the upstream, at [nowMs], and the largest parts of
         * [recentWork], keyed by [RecentWork.keyOf]. Upstreams without work are left out.
         */
        fun of(
            work: Map<Int, UpstreamWork>,
            nowMs: Long,
            instances: Int = 1,
            scope: LoadScope = LoadScope.INSTANCE,
            dataCentre: String = "",
            recentWork: Map<Int, Double> = emptyMap(),
        ): ForwardLoad {
            val rows = work.entries.filter { it.value != UpstreamWork() }
            val users = RecentWork.largest(recentWork)
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
                rows.map { it.value.levels.packed }.takeIf { levels -> levels.any { it != 0L } }.orEmpty(),
                organisations = users.map { it.key },
                organisationWorkMs = users.map { it.value.toInt() },
            )
        }
    }
}
