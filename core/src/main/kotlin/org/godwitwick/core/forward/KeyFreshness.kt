package org.godwitwick.core.forward

/**
 * Decides whether an instance still knows well enough which keys are valid. Answers instances that are cut off from the store,
 * frozen or suspended while keys are withdrawn.
 *
 * @property revocationMs time after which a withdrawn key must not be honoured by any instance.
 */
class KeyFreshness(private val revocationMs: Long) {
    /** Whether keys may be honoured at [now] when the configuration was last known to be the newest at [provenAt]. */
    fun mayHonourKeys(provenAt: ClockReading?, now: ClockReading): Boolean =
        provenAt != null && now.longestSince(provenAt) < revocationMs - MARGIN_MS

    private companion object {
        /** Covers drift between the clocks of an instance and of the operator; a tenth of a second a second would be far off. */
        const val MARGIN_MS = 300L
    }
}
