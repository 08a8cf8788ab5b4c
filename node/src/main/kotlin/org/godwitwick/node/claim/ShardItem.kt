package org.godwitwick.node.claim

import org.godwitwick.core.claim.Claim
import org.godwitwick.core.claim.ClaimDecision
import org.godwitwick.core.claim.ClaimEntry
import org.godwitwick.core.claim.OutcomeEntry
import java.util.concurrent.CompletableFuture

/** Work that waits for a shard. All fields are guarded by the shard's lock. */
internal sealed class ShardItem {
    /** Whether a record with the entry may be in the log. */
    var mayBeAppended = false

    /** Offset of the record with the entry, or null while it is not known. */
    var offset: Long? = null

    /** What the item appends, or null when it only reads. */
    abstract val entry: ClaimEntry?

    /** Estimated size in a record. */
    val sizeBytes: Int get() = ENTRY_BYTES + ((entry as? OutcomeEntry)?.outcome?.body?.size ?: 0)

    /** A claim to be appended and decided until [untilMs]. */
    class ForClaim(val claim: Claim, val untilMs: Long) : ShardItem() {
        val decision = CompletableFuture<ClaimDecision>()
        var isAnswered = false

        override val entry: ClaimEntry get() = claim
    }

    /** The end of a call, kept until it is appended or [keepUntilMs]. */
    class ForReport(override val entry: ClaimEntry, val keepUntilMs: Long) : ShardItem() {
        val appended = CompletableFuture<Unit>()
    }

    /** A marker without content, which keeps the stream from running empty. */
    class Marker : ShardItem() {
        override val entry: ClaimEntry? get() = null
    }

    private companion object {
        const val ENTRY_BYTES = 400
    }
}
