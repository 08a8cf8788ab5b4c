package org.godwitwick.core.config

/** Number of records since the last snapshot at which the next one is due. */
const val SNAPSHOT_INTERVAL_RECORDS = 500L

private const val SNAPSHOTS_PER_RETENTION = 4

/**
 * Whether a snapshot of [state] is due at [nowMs]. The age of the last snapshot suffices, because after [retentionMs] the log
 * drops that snapshot even if no record follows it.
 */
fun isSnapshotDue(state: ConfigState, nowMs: Long, retentionMs: Long): Boolean {
    val oldest = state.history.firstOrNull() ?: return false
    val sinceMs = if (state.snapshotOffset >= 0) state.snapshotTimeMs else oldest.timeMs
    return state.appliedOffset - state.snapshotOffset >= SNAPSHOT_INTERVAL_RECORDS ||
        nowMs - sinceMs > retentionMs / SNAPSHOTS_PER_RETENTION
}
