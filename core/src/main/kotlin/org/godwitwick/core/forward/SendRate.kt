package org.godwitwick.core.forward

/** Rate up to which the whole fleet sends to one upstream, and how the agreed senders share it. */
sealed interface SendRate {
    /** Requests a second of the whole fleet. */
    val perSecond: Double

    /** Number of the instances that send, in a fleet of [fleetSize]. */
    fun senderCount(fleetSize: Int): Int

    /** Time between two sends of one sender, in milliseconds. */
    fun spacingMs(fleetSize: Int): Long
}

/** A rate that an upstream states in its answers. */
data class StatedRate(override val perSecond: Double) : SendRate {
    override fun senderCount(fleetSize: Int): Int = minOf(fleetSize, perSecond.toInt() + EXTRA_SENDERS).coerceAtLeast(1)

    override fun spacingMs(fleetSize: Int): Long = if (perSecond <= 0) {
        NO_RATE_SPACING_MS
    } else {
        (MS_PER_SECOND * senderCount(fleetSize) / (perSecond * USED_FRACTION)).toLong()
    }

    private companion object {
        /** The rest is left for instances that do not know yet which instances are the senders. */
        const val USED_FRACTION = 0.9

        /** More than one, so that a service whose upstreams all state small limits is reached through several instances. */
        const val EXTRA_SENDERS = 3
    }
}

/**
 * Rate of an upstream that is cold, within [bound].
 *
 * Two sets of senders without a common instance together stay within the bound: each set takes half of it, as instances may disagree
 * on the fleet while it grows or is partitioned.
 */
data class ColdRate(override val perSecond: Double, val bound: ColdBound) : SendRate {
    private val halfPerSecond get() = (bound.maxPerSecond(perSecond) / VIEWS).coerceAtLeast(1)

    override fun senderCount(fleetSize: Int): Int = minOf(fleetSize, halfPerSecond).coerceAtLeast(1)

    override fun spacingMs(fleetSize: Int): Long {
        if (perSecond <= 0) return NO_RATE_SPACING_MS
        val senders = senderCount(fleetSize)
        val shareMs = MS_PER_SECOND * senders * VIEWS / (perSecond * bound.overage)
        val inOneSecond = halfPerSecond / senders
        return maxOf(shareMs, MS_PER_SECOND * JITTER_FACTOR / inOneSecond).coerceAtMost(MAX_SPACING_MS).toLong()
    }

    private companion object {
        const val VIEWS = 2

        /** Longer than cold times are; keeps times finite for a rate or a bound close to zero. */
        const val MAX_SPACING_MS = 3.6e6

        /** Requests of one sender may arrive up to 100 ms closer together than they were sent. */
        const val JITTER_FACTOR = 1.1
    }
}

/**
 * Bound on what a cold upstream gets from all instances in any one second: its rate times [overage], plus [slack] requests.
 */
data class ColdBound(val overage: Double = 1.5, val slack: Double = 5.0) {
    /** The bound for an upstream that takes [perSecond] requests a second. */
    fun maxPerSecond(perSecond: Double): Int = (perSecond * overage + slack).toInt()
}

private const val MS_PER_SECOND = 1e3

/** Time between two sends to an upstream that takes no requests; they find out whether that is still so. */
private const val NO_RATE_SPACING_MS = 5_000L
