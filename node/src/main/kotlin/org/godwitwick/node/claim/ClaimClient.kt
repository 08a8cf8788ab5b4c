package org.godwitwick.node.claim

import org.godwitwick.core.claim.Claim
import org.godwitwick.core.claim.ClaimEntry
import org.godwitwick.node.peer.ClaimRuling

/** Claims keys and reports how their calls ended. */
interface ClaimClient {
    /** Claims a key and waits at most [timeoutMs] for the ruling. */
    fun claim(claim: Claim, timeoutMs: Long): ClaimRuling

    /** Has [entry] appended without waiting; it is kept while the log is down. */
    fun report(entry: ClaimEntry)
}
