package org.godwitwick.node.claim

import org.godwitwick.core.claim.Claim
import org.godwitwick.core.claim.ClaimDecision
import org.godwitwick.core.claim.ClaimEntry
import org.godwitwick.core.claim.OutcomeEntry
import java.util.concurrent.CompletableFuture

/** Queued work of a [ClaimShard]. All fields are guarded by the lock of the shard. */
internal sealed class ShardItem {
    /** Whether a record that contains the entry may be in the log. */
    var mayBeAppended = false

    /** Offset of the record that contains the entry, or null while it is unknown. */
    var offset: Long? = null

    /** The entry to append, or null for a marker. */
    abstract val entry: ClaimEntry?

    /** Estimated size of the entry in a record, in bytes. */
    val sizeBytes: Int get() = ENTRY_BYTES + ((entry as? OutcomeEntry)?.outcome?.body?.size ?: 0)

    /** A claim to be appended and decided by [decideByMs]. */
    class ClaimItem(val claim: Claim, val decideByMs: Long) : ShardItem() {
        val decision = CompletableFuture<ClaimDecision>()

        /** Whether the caller has stopped waiting for the decision. */
        var isAbandoned = false

        override val entry: ClaimEntry get() = claim
    }

    /** The end of a call. It is dropped if it has not been appended by [expiresAtMs]. */
    class ReportItem(override val entry: ClaimEntry, val expiresAtMs: Long) : ShardItem() {
        val appended = CompletableFuture<Unit>()
    }

    /** A record without entries, which keeps the stream from becoming empty when the log drops old records. */
    class Marker : ShardItem() {
        override val entry: ClaimEntry? get() = null
    }

    private companion object {
        const val ENTRY_BYTES = 400
    }
}
