package org.godwitwick.core.forward

/**
 * Decides whether the configuration of an instance is recent enough to accept keys. Guards against instances that are cut off
 * from the store or suspended while keys are revoked.
 *
 * @property revocationMs time after its revocation, in milliseconds, from which no instance may accept a key.
 */
class KeyFreshness(private val revocationMs: Long) {
    /** Whether keys may be accepted at [now] if the configuration was last proven to be the newest at [provenAt]. */
    fun mayAcceptKeys(provenAt: ClockReading?, now: ClockReading): Boolean =
        provenAt != null && now.maxElapsedMsSince(provenAt) < revocationMs - MARGIN_MS

    private companion object {
        /** Covers drift between the clocks of an instance and of the operator; real drift is far below 0.1 s per second. */
        const val MARGIN_MS = 300L
    }
}
