package org.godwitwick.core.membership

import org.godwitwick.core.model.InstanceId
import org.godwitwick.core.model.ListedInstance
import org.godwitwick.core.model.ListedKind
import org.godwitwick.core.model.ListedState

/** Silence after which other instances stop relying on a member. */
const val SILENT_MS = 3_000L

/** What is believed about a member. */
enum class MemberState {
    /** On the list, not heard yet. It is contacted but no role is given to it. */
    PRESUMED,

    /** Heard within [SILENT_MS]. */
    LIVE,

    /** Heard or listed as leaving. It gets no role. */
    LEAVING,

    /** Not heard for longer than [SILENT_MS]. It is contacted again while it stays listed. */
    SILENT,
}

/** What was last heard of a member, on the hearer's monotonic scale. */
data class Heartbeat(
    val id: InstanceId,
    val incarnation: Long,
    val region: String,
    val dataCentre: String,
    val peerAddress: String?,
    val isLeaving: Boolean,
    val heardAtMs: Long,
)

/** One entry instance of the fleet. */
data class Member(
    val id: InstanceId,
    val region: String,
    val dataCentre: String,
    val peerAddress: String?,
    val incarnation: Long,
    val state: MemberState,
) {
    /** Whether the member may be given a role, such as that of a tailer. */
    val isLive: Boolean get() = state == MemberState.LIVE
}

/**
 * Merges the instance list, which lags, with what was heard. A member that was heard but isn't listed yet counts; one that is neither
 * listed nor heard is dropped. A heartbeat of an older incarnation never replaces one of a newer.
 */
fun mergeMembers(listed: List<ListedInstance>, heartbeats: Collection<Heartbeat>, nowMs: Long): List<Member> {
    val heard = heartbeats.groupBy {
        it.id
    }.mapValues { (_, beats) -> beats.maxWith(compareBy({ it.incarnation }, { it.heardAtMs })) }
    val rows = listed.filter { it.kind == ListedKind.ENTRY }.associateBy { it.id }
    return (rows.keys + heard.keys).sortedBy { it.value }.mapNotNull { memberOf(it, rows[it], heard[it], nowMs) }
}

private fun memberOf(id: InstanceId, row: ListedInstance?, beat: Heartbeat?, nowMs: Long): Member? {
    val isHeard = beat != null && nowMs - beat.heardAtMs <= SILENT_MS
    if (row == null && !isHeard) return null
    val state = when {
        beat == null -> if (row?.state == ListedState.LEAVING) MemberState.LEAVING else MemberState.PRESUMED
        !isHeard -> MemberState.SILENT
        beat.isLeaving || row?.state == ListedState.LEAVING -> MemberState.LEAVING
        else -> MemberState.LIVE
    }
    return Member(
        id = id,
        region = row?.region ?: beat!!.region,
        dataCentre = row?.dataCentre ?: beat!!.dataCentre,
        peerAddress = beat?.peerAddress ?: row?.peerAddress,
        incarnation = beat?.incarnation ?: 0,
        state = state,
    )
}
