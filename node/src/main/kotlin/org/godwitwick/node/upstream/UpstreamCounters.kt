package org.godwitwick.node.upstream

import java.util.concurrent.atomic.LongAdder

/** Counters of the path to the engines. */
class UpstreamCounters {
    /** Engine messages dropped because they carried another request's id. */
    val wrongRequestIds = LongAdder()

    /** Engine messages dropped because their token index or total was not the expected one. */
    val wrongIndexes = LongAdder()

    /** Connections given up because no bytes came for the stall timeout. */
    val stalls = LongAdder()

    /** Dispatches after a failed one that may have run. */
    val retries = LongAdder()

    /** Requests that failed because the retry budget was used up. */
    val budgetRefusals = LongAdder()

    /** Requests refused or ended because they are suspected of crashing engines. */
    val quarantines = LongAdder()

    /** Cancels and hold releases that got no answer in any attempt; the watcher deals with what they leave. */
    val lostCleanups = LongAdder()
}
