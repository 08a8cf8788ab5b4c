package org.godwitwick.node.claim

import org.godwitwick.core.claim.Claim
import org.godwitwick.core.claim.ClaimEntry
import org.godwitwick.node.peer.ClaimRuling

/** Claims keys and reports how the calls of granted claims ended. */
interface ClaimClient {
    /** Claims a key and waits at most [timeoutMs] milliseconds for the ruling. */
    fun claim(claim: Claim, timeoutMs: Long): ClaimRuling

    /** Queues [entry], the end of a call, without blocking. It is appended later and stays queued while the log is down. */
    fun report(entry: ClaimEntry)
}
