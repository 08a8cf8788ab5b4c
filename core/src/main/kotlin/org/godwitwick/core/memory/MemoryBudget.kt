package org.godwitwick.core.memory

/**
 * Divides a fixed number of bytes among the requests that hold bodies in memory. Not thread-safe.
 *
 * @property limitBytes sum that all shares together may reach.
 */
class MemoryBudget(val limitBytes: Long) {
    /** Sum of all shares. */
    var usedBytes = 0L
        private set

    /** Sum up to which large shares may grow; the rest is left to small ones, so that short requests are served beside large ones. */
    val largeLimitBytes: Long = limitBytes - limitBytes / SMALL_RESERVE_DIVISOR

    /** Changes a share of [fromBytes] to [toBytes]. Returns false and changes nothing if it would grow beyond the limit. */
    fun resize(fromBytes: Long, toBytes: Long): Boolean {
        require(fromBytes in 0..usedBytes && toBytes >= 0) { "a share of $fromBytes to $toBytes bytes, $usedBytes are used" }
        val othersBytes = usedBytes - fromBytes
        // Written without a sum, which might overflow for a length that a caller states.
        if (toBytes > fromBytes && toBytes > limitFor(toBytes) - othersBytes) return false
        usedBytes = othersBytes + toBytes
        return true
    }

    private fun limitFor(shareBytes: Long) = if (shareBytes <= SMALL_SHARE_BYTES) limitBytes else largeLimitBytes

    companion object {
        /** Size up to which a share is small, in bytes; most requests and answers are smaller. */
        const val SMALL_SHARE_BYTES = 64L * 1024
        private const val SMALL_RESERVE_DIVISOR = 8
    }
}
