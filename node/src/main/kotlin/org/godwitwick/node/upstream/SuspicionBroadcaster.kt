package org.godwitwick.node.upstream

import org.godwitwick.core.health.SuspicionRow

/** Sends crash suspicions to the peers. Implementations must not block. A lost push only makes suspicions less accurate. */
fun interface SuspicionBroadcaster {
    /** Sends [rows] immediately to all peers in the data centre. */
    fun push(rows: List<SuspicionRow>)
}
