package org.godwitwick.core.forward

import org.godwitwick.core.model.InstanceId
import kotlin.random.Random

/**
 * Chooses the instance through which a request goes that this instance can't send itself. Instances that may be cut off as well are
 * avoided for a while. Not thread safe.
 */
class RelayPeers(private val random: Random) {
    private val avoidedUntilMs = HashMap<InstanceId, Long>()

    /** Returns one of [others] that is not among [tried] and takes requests at [nowMs], or null if there is none. */
    fun choose(others: Set<InstanceId>, tried: Set<InstanceId>, nowMs: Long): InstanceId? {
        avoidedUntilMs.keys.retainAll(others)
        val usable = (others - tried).filter { (avoidedUntilMs[it] ?: Long.MIN_VALUE) <= nowMs }
        return usable.randomOrNull(random)
    }

    /** Records that [peer] did not take a request at [nowMs]. */
    fun onRefused(peer: InstanceId, nowMs: Long) {
        avoidedUntilMs[peer] = nowMs + REFUSED_AVOID_MS
    }

    private companion object {
        /** A refusal takes a few milliseconds, so an instance that regains its links may soon be asked again. */
        const val REFUSED_AVOID_MS = 1_000L
    }
}
