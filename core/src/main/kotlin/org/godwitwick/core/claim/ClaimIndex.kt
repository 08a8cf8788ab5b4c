package org.godwitwick.core.claim

import org.godwitwick.core.claim.ClaimDecision.LogUnavailable

/**
 * The fold of one claim stream.
 *
 * Decisions follow from the order and log times of the records alone, so every reader that has the records of a key decides alike. A
 * reader that may lack records of a key grants nothing for it. Keys are kept for [ClaimLimits.keepMs] of log time.
 */
class ClaimIndex(private var limits: ClaimLimits) {
    private sealed interface End {
        data class Answered(val offset: Long) : End

        data object Unknown : End
    }

    private class Holder(val claim: Claim, val offset: Long, val timeMs: Long, var end: End? = null)

    private enum class Fate { WON, LOST, VOIDED, EXPIRED, FROM_FUTURE }

    private class KeyState(var touchedMs: Long) {
        val fates = HashMap<ClaimId, Fate>()
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

    /** Log time of the last record, or null before the first. A log clock that steps back doesn't move it. */
    var lastTimeMs: Long? = null
        private set

    /** Number of keys held in memory. */
    val size: Int get() = keys.size

    /** Uses [newLimits] from the next record on. Keys that were removed under narrower limits stay undecidable. */
    fun limitTo(newLimits: ClaimLimits) {
        limits = newLimits
    }

    /** Continues at [offset] without the records before it. */
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
        // An unreadable record may hold claims, which makes it a gap.
        if (isAfterGap || entries == null) incompleteUntilMs = maxOf(incompleteUntilMs, logTimeMs)
        isAfterGap = false
        entries?.forEach { apply(it, offset, logTimeMs) }
        removeOld(logTimeMs)
    }

    /** The decision about [claim], which must lie before [nextOffset]. */
    fun decide(claim: Claim): ClaimDecision {
        if (!isComplete(claim.key)) return LogUnavailable("records of the key may be missing from the log", mayBeAppended = true)
        val state = keys[claim.key] ?: return notSeen
        return when (state.fates[claim.claimId]) {
            null -> notSeen
            Fate.EXPIRED -> ClaimDecision.Expired
            Fate.FROM_FUTURE -> ClaimDecision.FromFuture
            Fate.VOIDED -> LogUnavailable("the claim was given up", mayBeAppended = true)
            Fate.LOST -> held(state, claim.bodyHash) ?: ClaimDecision.Freed
            Fate.WON -> wonOrEnded(state, claim)
        }
    }

    /** Whether the record of [claim] was read. */
    fun hasSeen(claim: Claim): Boolean = keys[claim.key]?.fates?.containsKey(claim.claimId) == true

    /** The decision about [claim] as far as it follows without a further append, or null when it may win by one. */
    fun peek(claim: Claim): ClaimDecision? {
        if (hasSeen(claim)) return decide(claim)
        return keys[claim.key]?.let { held(it, claim.bodyHash) }
    }

    private fun wonOrEnded(state: KeyState, claim: Claim): ClaimDecision {
        val holder = checkNotNull(state.holder) { "a claim that won holds its key" }
        return if (holder.end == null) ClaimDecision.Granted(holder.offset) else checkNotNull(held(state, claim.bodyHash))
    }

    private fun held(state: KeyState, bodyHash: String): ClaimDecision? {
        val holder = state.holder ?: return null
        if (holder.claim.bodyHash != bodyHash) return ClaimDecision.Mismatch
        return when (val end = holder.end) {
            null -> ClaimDecision.Pending(holder.claim.claimant, holder.timeMs + holder.claim.timeoutMs)
            is End.Answered -> ClaimDecision.Replay(end.offset, holder.claim.claimId)
            End.Unknown -> ClaimDecision.OutcomeUnknown
        }
    }

    // A valid claim is never earlier than the key's creation less the tolerance for callers' clocks.
    private fun isComplete(key: ClaimKey): Boolean = !isAfterGap && key.key.createdAtMs - KEY_FUTURE_MS > incompleteUntilMs

    private fun apply(entry: ClaimEntry, offset: Long, timeMs: Long) {
        val state = keys.remove(entry.key) ?: KeyState(timeMs)
        state.touchedMs = timeMs
        keys[entry.key] = state
        when (entry) {
            is Claim -> applyClaim(state, entry, offset, timeMs)
            is NotRunEntry -> applyNotRun(state, entry)
            is OutcomeEntry -> state.heldBy(entry)?.let { if (it.end !is End.Answered) it.end = End.Answered(offset) }
            is UnknownEntry -> state.heldBy(entry)?.let { if (it.end == null) it.end = End.Unknown }
        }
    }

    private fun applyClaim(state: KeyState, claim: Claim, offset: Long, timeMs: Long) {
        if (claim.claimId in state.fates) return
        state.fates[claim.claimId] = when (limits.ageOf(claim.key.key, timeMs)) {
            KeyAge.EXPIRED -> Fate.EXPIRED
            KeyAge.FROM_FUTURE -> Fate.FROM_FUTURE
            KeyAge.VALID -> if (state.holder == null) Fate.WON else Fate.LOST
        }
        if (state.fates[claim.claimId] == Fate.WON) state.holder = Holder(claim, offset, timeMs)
    }

    private fun applyNotRun(state: KeyState, entry: NotRunEntry) {
        val holder = state.heldBy(entry)
        if (holder?.end != null) return
        if (holder != null) state.holder = null
        state.fates[entry.claimId] = Fate.VOIDED
    }

    private fun KeyState.heldBy(entry: ClaimEntry): Holder? = holder?.takeIf { it.claim.claimId == entry.claimId }

    private fun removeOld(timeMs: Long) {
        val oldest = keys.values.iterator()
        while (oldest.hasNext()) {
            val state = oldest.next()
            if (timeMs - state.touchedMs <= limits.keepMs) return
            incompleteUntilMs = maxOf(incompleteUntilMs, state.touchedMs)
            oldest.remove()
        }
    }

    private companion object {
        val notSeen = LogUnavailable("the claim was not found in the log", mayBeAppended = true)
    }
}
