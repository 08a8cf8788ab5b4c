package org.godwitwick.standins.engine

/** One published cache event. */
data class CacheEvent(val sequence: Long, val atMs: Long, val change: CacheChange)

/**
 * The cache events of one engine. A reader sees an event [delayMs] after it happened, and every [gapEvery]th event never.
 *
 * @property gapEvery 0 for no gaps.
 */
class CacheEvents(private val delayMs: Long, private val gapEvery: Int) {
    private val events = ArrayDeque<CacheEvent>()
    private var nextSequence = 0L

    /** Publishes [change]. */
    @Synchronized
    fun add(change: CacheChange, nowMs: Long) {
        val sequence = nextSequence++
        if (gapEvery > 0 && sequence % gapEvery == gapEvery - 1L) return
        events.addLast(CacheEvent(sequence, nowMs, change))
        if (events.size > MAX_EVENTS) events.removeFirst()
    }

    /** Events from sequence number [from] on that are visible at [nowMs]. */
    @Synchronized
    fun read(from: Long, nowMs: Long): List<CacheEvent> =
        events.filter { it.sequence >= from && it.atMs + delayMs <= nowMs }.take(MAX_READ)

    private companion object {
        const val MAX_EVENTS = 65_536
        const val MAX_READ = 4_096
    }
}
