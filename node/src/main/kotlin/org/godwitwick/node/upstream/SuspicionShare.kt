package org.godwitwick.node.upstream

import org.godwitwick.core.health.SuspicionRow

/** Spreads suspicions to the peers. Implementations don't block; a lost push costs accuracy, nothing durable. */
fun interface SuspicionShare {
    /** Sends [rows] to all peers of the data centre at once. */
    fun push(rows: List<SuspicionRow>)
}
