package org.godwitwick.core.membership

import org.godwitwick.core.model.InstanceId
import org.godwitwick.core.model.ListedInstance
import org.godwitwick.core.model.ListedKind
import org.godwitwick.core.model.ListedState

/** Time since the last heartbeat, in milliseconds, after which a member counts as [MemberState.SILENT]. */
const val MEMBER_TIMEOUT_MS = 3_000L

/** State of a member, derived from the instance list and from heartbeats. */
enum class MemberState {
    /** On the instance list, but without a heartbeat so far. It is contacted but is assigned no role. */
    PRESUMED,

    /** A heartbeat was received within [MEMBER_TIMEOUT_MS]. */
    LIVE,

    /** Leaving, according to its heartbeat or the instance list. It is assigned no role. */
    LEAVING,

    /** Without a heartbeat for longer than [MEMBER_TIMEOUT_MS]. It is contacted as long as it is on the instance list. */
    SILENT,
}

/**
 * The last heartbeat received from a member.
 *
 * @property heardAtMs time at which the heartbeat was published, on the receiver's monotonic clock.
 */
data class Heartbeat(
    val id: InstanceId,
    val incarnation: Long,
    val region: String,
    val dataCentre: String,
    val peerAddress: String?,
    val isLeaving: Boolean,
    val heardAtMs: Long,
)

/** An entry instance of the fleet. */
data class Member(
    val id: InstanceId,
    val region: String,
    val dataCentre: String,
    val peerAddress: String?,
    val incarnation: Long,
    val state: MemberState,
) {
    /** Whether the member may be assigned a role, such as log tailer. */
    val isLive: Boolean get() = state == MemberState.LIVE
}

/**
 * Merges the instance list, which lags behind, with the received heartbeats. A member with a recent heartbeat is included even if
 * it is not listed yet; one that is neither listed nor has a recent heartbeat is dropped. A heartbeat of an older incarnation
 * never replaces one of a newer incarnation.
 */
fun mergeMembers(listed: List<ListedInstance>, heartbeats: Collection<Heartbeat>, nowMs: Long): List<Member> {
    val heard = heartbeats.groupBy {
        it.id
    }.mapValues { (_, beats) -> beats.maxWith(compareBy({ it.incarnation }, { it.heardAtMs })) }
    val rows = listed.filter { it.kind == ListedKind.ENTRY }.associateBy { it.id }
    return (rows.keys + heard.keys).sortedBy { it.value }.mapNotNull { memberOf(it, rows[it], heard[it], nowMs) }
}

private fun memberOf(id: InstanceId, row: ListedInstance?, beat: Heartbeat?, nowMs: Long): Member? {
    val isHeard = beat != null && nowMs - beat.heardAtMs <= MEMBER_TIMEOUT_MS
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
