package org.godwitwick.node.peer

import java.util.BitSet
import java.util.concurrent.ConcurrentHashMap
import kotlin.math.abs

/**
 * Detects frames that were received before, come from an earlier incarnation of the sender, carry a time that differs from the
 * local clock by more than the allowed skew, or are addressed to another instance.
 */
class ReplayGuard(private val self: String, private val maxSkewMs: Long) {
    private class SenderState(val incarnation: Long) {
        private var highest = -1L
        private val window = BitSet(WINDOW)

        fun recordIfNew(sequence: Long): Boolean {
            if (sequence <= highest - WINDOW) return false
            if (sequence > highest) {
                if (sequence - highest >= WINDOW) window.clear() else (highest + 1..sequence).forEach { window.clear(slot(it)) }
                highest = sequence
            }
            if (window[slot(sequence)]) return false
            window.set(slot(sequence))
            return true
        }

        private fun slot(sequence: Long) = (sequence % WINDOW).toInt()
    }

    private val senders = ConcurrentHashMap<String, SenderState>()

    /** Returns the reason for refusing [header] at [nowMs], or records it as received and returns null. */
    fun refusalOf(header: FrameHeader, nowMs: Long): FrameRefusal? {
        if (header.to != self) return FrameRefusal.OTHER_RECEIVER
        if (abs(header.timeMs - nowMs) > maxSkewMs) return FrameRefusal.WRONG_TIME
        var refusal: FrameRefusal? = null
        senders.compute(header.from) { _, known ->
            val current = if (known == null || header.incarnation > known.incarnation) SenderState(header.incarnation) else known
            refusal = when {
                header.incarnation < current.incarnation -> FrameRefusal.OLD_INCARNATION
                !current.recordIfNew(header.sequence) -> FrameRefusal.REPLAYED
                else -> null
            }
            current
        }
        return refusal
    }

    private companion object {
        // Number of sequence numbers that are remembered. Frames between two instances use up to two connections at a time and
        // may overtake each other by a full queue.
        const val WINDOW = 4_096
    }
}
