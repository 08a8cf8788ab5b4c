package org.godwitwick.core.forward

/**
 * Number of streams at one upstream by level of [ServiceRanks], as eight counters of one byte each; level 0 is the lowest byte.
 *
 * One number, because each upstream of the fleet has one in every report and in every view of a placement. Counters stop at
 * [MAX_COUNT], which is several times the slots of an engine.
 */
@JvmInline
value class StreamLevels(val packed: Long) {
    /** Streams of [level]. */
    operator fun get(level: Int): Int = ((packed ushr (level * BITS)) and MAX_COUNT.toLong()).toInt()

    /** Streams of all levels. */
    val total: Int get() = before(ServiceRanks.MAX_LEVELS)

    /** Streams that outrank a request of [level]. */
    fun before(level: Int): Int {
        var sum = 0
        for (i in 0 until level) sum += this[i]
        return sum
    }

    /** Sum of these streams and [other]. */
    operator fun plus(other: StreamLevels): StreamLevels = when {
        packed == 0L -> other
        other.packed == 0L -> this
        else -> of { this[it] + other[it] }
    }

    /** These streams without [part]; no count becomes negative. */
    operator fun minus(part: StreamLevels): StreamLevels = if (part.packed == 0L) this else of { this[it] - part[it] }

    companion object {
        /** No streams. */
        val NONE = StreamLevels(0)

        /** Largest number that is counted for a level. */
        const val MAX_COUNT = 0xff
        private const val BITS = 8

        /** The streams of which [countOf] returns the number for each level. */
        inline fun of(countOf: (level: Int) -> Int): StreamLevels {
            var packed = 0L
            for (level in ServiceRanks.MAX_LEVELS - 1 downTo 0) {
                packed = (packed shl Byte.SIZE_BITS) or countOf(level).coerceIn(0, MAX_COUNT).toLong()
            }
            return StreamLevels(packed)
        }
    }
}
