package org.godwitwick.core.forward

import kotlin.random.Random

/**
 * The numbers from 0 until [size] in random order, each once. Drawing some of them takes time and memory for these only, so that a
 * sample of a large fleet costs as much as one of a small fleet. Not thread safe.
 */
internal class DistinctIndices(private val size: Int, private val random: Random) {
    // A shuffled array of which only the changed elements are kept, in an open-addressing hash table without boxed numbers.
    private var positions = IntArray(INITIAL_CAPACITY) { FREE }
    private var numbers = IntArray(INITIAL_CAPACITY)
    private var drawn = 0

    /** Whether there are numbers that have not been drawn. */
    val hasNext: Boolean get() = drawn < size

    /** Draws the next number; fails if all have been drawn. */
    fun next(): Int {
        if (!hasNext) throw NoSuchElementException("all $size numbers have been drawn")
        // Each draw adds at most one element.
        if (drawn * 2 >= positions.size) grow()
        val position = random.nextInt(drawn, size)
        val number = numberAt(position)
        put(position, numberAt(drawn))
        drawn++
        return number
    }

    private fun numberAt(position: Int): Int {
        val slot = slotOf(position)
        return if (positions[slot] == FREE) position else numbers[slot]
    }

    private fun put(position: Int, number: Int) {
        val slot = slotOf(position)
        positions[slot] = position
        numbers[slot] = number
    }

    private fun slotOf(position: Int): Int {
        val mask = positions.size - 1
        var slot = position and mask
        while (positions[slot] != FREE && positions[slot] != position) slot = (slot + 1) and mask
        return slot
    }

    private fun grow() {
        val oldPositions = positions
        val oldNumbers = numbers
        positions = IntArray(oldPositions.size * 2) { FREE }
        numbers = IntArray(positions.size)
        oldPositions.forEachIndexed { slot, position -> if (position != FREE) put(position, oldNumbers[slot]) }
    }

    private companion object {
        const val FREE = -1

        /** A power of two. */
        const val INITIAL_CAPACITY = 16
    }
}
