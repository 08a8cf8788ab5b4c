package org.godwitwick.standins.engine

/** One recorded cache event; [atMs] is the wall-clock time of [change]. */
data class CacheEvent(val sequence: Long, val atMs: Long, val change: CacheChange)

/**
 * The most recent cache events of one engine. It can simulate late and lost events.
 *
 * @property delayMs time from an event until readers see it, in milliseconds.
 * @property gapEvery every this many events one is lost, which leaves a gap in the sequence numbers; 0 for no gaps.
 */
class CacheEventLog(private val delayMs: Long, private val gapEvery: Int) {
    private val events = ArrayDeque<CacheEvent>()
    private var nextSequence = 0L

    /** Records [change] under the next sequence number, or only uses up the number if this event is to be lost. */
    @Synchronized
    fun add(change: CacheChange, nowMs: Long) {
        val sequence = nextSequence++
        if (gapEvery > 0 && sequence % gapEvery == gapEvery - 1L) return
        events.addLast(CacheEvent(sequence, nowMs, change))
        if (events.size > MAX_EVENTS) events.removeFirst()
    }

    /** Events from sequence number [from] on that are visible at [nowMs], in order, [MAX_READ] at most. */
    @Synchronized
    fun read(from: Long, nowMs: Long): List<CacheEvent> =
        events.filter { it.sequence >= from && it.atMs + delayMs <= nowMs }.take(MAX_READ)

    private companion object {
        const val MAX_EVENTS = 65_536
        const val MAX_READ = 4_096
    }
}
