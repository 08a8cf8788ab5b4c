package org.godwitwick.core.claim

import org.godwitwick.core.claim.ClaimDecision.LogUnavailable

/**
 * Index of a claim stream, built by applying its records in order.
 *
 * Decisions depend only on the order and the log times of the records, so all readers that have the records of a key decide
 * identically. A reader that may lack records of a key grants no claim for it. Keys are kept for [ClaimLimits.retentionMs] of log
 * time.
 */
class ClaimIndex(private var limits: ClaimLimits) {
    private sealed interface CallEnd {
        data class Answered(val offset: Long) : CallEnd

        data object Unknown : CallEnd
    }

    private class Holder(val claim: Claim, val offset: Long, val timeMs: Long, var end: CallEnd? = null)

    private enum class ClaimStatus { WON, LOST, VOIDED, EXPIRED, FROM_FUTURE }

    private class KeyState(var lastEntryMs: Long) {
        val statuses = HashMap<ClaimId, ClaimStatus>()
        var holder: Holder? = null
    }

    // Ordered by the log time of the last entry, so that old keys are removed from the front.
    private val keys = LinkedHashMap<ClaimKey, KeyState>()

    // Claims at or before this log time may be missing from the index.
    private var incompleteUntilMs = Long.MIN_VALUE
    private var isAfterGap = false

    /** Offset of the next record to apply; 0 before the first. */
    var nextOffset = 0L
        private set

    /** Highest log time of the applied records, or null before the first. Does not decrease when the log's clock steps back. */
    var lastTimeMs: Long? = null
        private set

    /** Number of keys in memory. */
    val size: Int get() = keys.size

    /** Applies [newLimits] from the next record on. Keys that were removed under narrower limits remain undecidable. */
    fun updateLimits(newLimits: ClaimLimits) {
        limits = newLimits
    }

    /** Continues at [offset], leaving a gap unless [offset] is [nextOffset]. */
    fun skipTo(offset: Long) {
        if (offset == nextOffset) return
        nextOffset = offset
        isAfterGap = true
    }

    /** Applies the record at [nextOffset]; [entries] is null when it could not be decoded. */
    fun apply(timeMs: Long, entries: List<ClaimEntry>?) {
        val offset = nextOffset++
        val logTimeMs = maxOf(timeMs, lastTimeMs ?: timeMs)
        lastTimeMs = logTimeMs
        // An unreadable record may contain claims, so it counts as a gap.
        if (isAfterGap || entries == null) incompleteUntilMs = maxOf(incompleteUntilMs, logTimeMs)
        isAfterGap = false
        entries?.forEach { apply(it, offset, logTimeMs) }
        removeExpired(logTimeMs)
    }

    /** Returns the decision about [claim], whose record must precede [nextOffset]. */
    fun decide(claim: Claim): ClaimDecision {
        if (!isComplete(claim.key)) return LogUnavailable("records of the key may be missing from the log", mayBeAppended = true)
        val state = keys[claim.key] ?: return claimNotFound
        return when (state.statuses[claim.claimId]) {
            null -> claimNotFound
            ClaimStatus.EXPIRED -> ClaimDecision.Expired
            ClaimStatus.FROM_FUTURE -> ClaimDecision.FromFuture
            ClaimStatus.VOIDED -> LogUnavailable("the claim was voided by a not-run entry", mayBeAppended = true)
            ClaimStatus.LOST -> decideHeld(state, claim.bodyHash) ?: ClaimDecision.Freed
            ClaimStatus.WON -> decideWinner(state, claim)
        }
    }

    /** Whether [claim] or a not-run entry for it was applied and is still in memory. */
    fun hasApplied(claim: Claim): Boolean = keys[claim.key]?.statuses?.containsKey(claim.claimId) == true

    /** Returns the decision about [claim] if it is certain without a further append, or null if an append may win the key. */
    fun decideWithoutAppend(claim: Claim): ClaimDecision? {
        if (hasApplied(claim)) return decide(claim)
        return keys[claim.key]?.let { decideHeld(it, claim.bodyHash) }
    }

    private fun decideWinner(state: KeyState, claim: Claim): ClaimDecision {
        val holder = checkNotNull(state.holder) { "a claim won its key, but the key has no holder" }
        return if (holder.end == null) ClaimDecision.Granted(holder.offset) else checkNotNull(decideHeld(state, claim.bodyHash))
    }

    private fun decideHeld(state: KeyState, bodyHash: String): ClaimDecision? {
        val holder = state.holder ?: return null
        if (holder.claim.bodyHash != bodyHash) return ClaimDecision.Mismatch
        return when (val end = holder.end) {
            null -> ClaimDecision.Pending(holder.claim.claimant, holder.timeMs + holder.claim.timeoutMs)
            is CallEnd.Answered -> ClaimDecision.Replay(end.offset, holder.claim.claimId)
            CallEnd.Unknown -> ClaimDecision.OutcomeUnknown
        }
    }

    // A valid claim of the key is never earlier than the key's creation time minus the clock skew that callers may have.
    private fun isComplete(key: ClaimKey): Boolean =
        !isAfterGap && key.key.createdAtMs - MAX_KEY_CLOCK_SKEW_MS > incompleteUntilMs

    private fun apply(entry: ClaimEntry, offset: Long, timeMs: Long) {
        val state = keys.remove(entry.key) ?: KeyState(timeMs)
        state.lastEntryMs = timeMs
        keys[entry.key] = state
        when (entry) {
            is Claim -> applyClaim(state, entry, offset, timeMs)
            is NotRunEntry -> applyNotRun(state, entry)
            is OutcomeEntry -> state.holderFor(entry)?.let { if (it.end !is CallEnd.Answered) it.end = CallEnd.Answered(offset) }
            is UnknownEntry -> state.holderFor(entry)?.let { if (it.end == null) it.end = CallEnd.Unknown }
        }
    }

    private fun applyClaim(state: KeyState, claim: Claim, offset: Long, timeMs: Long) {
        if (claim.claimId in state.statuses) return
        state.statuses[claim.claimId] = when (limits.ageOf(claim.key.key, timeMs)) {
            KeyAge.EXPIRED -> ClaimStatus.EXPIRED
            KeyAge.FROM_FUTURE -> ClaimStatus.FROM_FUTURE
            KeyAge.VALID -> if (state.holder == null) ClaimStatus.WON else ClaimStatus.LOST
        }
        if (state.statuses[claim.claimId] == ClaimStatus.WON) state.holder = Holder(claim, offset, timeMs)
    }

    private fun applyNotRun(state: KeyState, entry: NotRunEntry) {
        val holder = state.holderFor(entry)
        if (holder?.end != null) return
        if (holder != null) state.holder = null
        state.statuses[entry.claimId] = ClaimStatus.VOIDED
    }

    private fun KeyState.holderFor(entry: ClaimEntry): Holder? = holder?.takeIf { it.claim.claimId == entry.claimId }

    private fun removeExpired(timeMs: Long) {
        val oldest = keys.values.iterator()
        while (oldest.hasNext()) {
            val state = oldest.next()
            if (timeMs - state.lastEntryMs <= limits.retentionMs) return
            incompleteUntilMs = maxOf(incompleteUntilMs, state.lastEntryMs)
            oldest.remove()
        }
    }

    private companion object {
        val claimNotFound = LogUnavailable("the claim was not found in the log", mayBeAppended = true)
    }
}
