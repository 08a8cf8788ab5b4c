package org.godwitwick.node.upstream

import java.util.concurrent.atomic.LongAdder

/** Counters of the calls to engines. */
class UpstreamCounters {
    /** Engine messages dropped because they carried the id of another request. */
    val wrongRequestIds = LongAdder()

    /** Engine messages dropped because their token index or total was not the expected one. */
    val wrongIndexes = LongAdder()

    /** Engine calls that ended because no bytes arrived within the stall timeout, or because the deadline passed. */
    val stalls = LongAdder()

    /** Dispatches that follow a failed dispatch which may have run. */
    val retries = LongAdder()

    /** Requests that failed because the retry budget was exhausted. */
    val budgetRefusals = LongAdder()

    /** Requests refused or ended because they are suspected of crashing engines. */
    val quarantines = LongAdder()

    /** Cancellations and hold releases that failed in every attempt. The watcher releases the holds that remain. */
    val lostCleanups = LongAdder()
}
