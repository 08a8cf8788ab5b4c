package org.godwitwick.core.forward

import kotlin.random.Random

/**
 * The numbers from 0 until [size] in random order, each once. Drawing some of them takes time and memory for these only, so that a
 * sample of a large fleet costs as much as one of a small fleet. Not thread safe.
 */
internal class DistinctIndices(private val size: Int, private val random: Random) {
    // A shuffled array of which only the moved numbers are kept.
    private val moved = HashMap<Int, Int>()
    private var drawn = 0

    /** Whether there are numbers that have not been drawn. */
    val hasNext: Boolean get() = drawn < size

    /** Draws the next number; fails if all have been drawn. */
    fun next(): Int {
        if (!hasNext) throw NoSuchElementException("all $size numbers have been drawn")
        val chosen = random.nextInt(drawn, size)
        val number = moved[chosen] ?: chosen
        if (chosen != drawn) moved[chosen] = moved.remove(drawn) ?: drawn
        drawn++
        return number
    }
}
