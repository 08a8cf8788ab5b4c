package org.godwitwick.core.config

/** Records after which a snapshot is due. */
const val SNAPSHOT_RECORDS = 500L

private const val RETENTION_PARTS = 4

/**
 * Whether a snapshot of [state] is due at [nowMs]. Age alone suffices, because the last snapshot expires with the retention even when no
 * record follows it.
 */
fun isSnapshotDue(state: ConfigState, nowMs: Long, retentionMs: Long): Boolean {
    val oldest = state.history.firstOrNull() ?: return false
    val sinceMs = if (state.snapshotOffset >= 0) state.snapshotTimeMs else oldest.timeMs
    return state.appliedOffset - state.snapshotOffset >= SNAPSHOT_RECORDS || nowMs - sinceMs > retentionMs / RETENTION_PARTS
}
